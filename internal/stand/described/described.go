// Package described lists external names that a library derives from the code: those of a protobuf file (names and
// numbers of fields, values of enums, paths of calls), and the commands, arguments and flags of a command line.
//
// It exists because old and new processes run side by side during an update, and both must agree on the names that
// protobuf and drpc use. A golden file of the list shows when a name changes.
//
// It is for tests only, and does not describe the meaning of messages.
//
// # Usage
//
//	golden.Assert(t, described.File(wire.File_wire_proto)+described.Calls(wire.DRPCRelayDescription{}), "wire.golden")
package described

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
	"storj.io/drpc"
)

// File lists the messages, enums and services of a protobuf file.
func File(f protoreflect.FileDescriptor) string {
	var b strings.Builder
	fmt.Fprintf(&b, "package %s\n", f.Package())
	writeMessages(&b, f.Messages())
	writeEnums(&b, f.Enums())
	for i := range f.Services().Len() {
		s := f.Services().Get(i)
		for j := range s.Methods().Len() {
			m := s.Methods().Get(j)
			fmt.Fprintf(&b, "call /%s/%s %s stream %t, %s stream %t\n", s.FullName(), m.Name(),
				m.Input().FullName(), m.IsStreamingClient(), m.Output().FullName(), m.IsStreamingServer())
		}
	}
	return b.String()
}

func writeMessages(b *strings.Builder, list protoreflect.MessageDescriptors) {
	for i := range list.Len() {
		m := list.Get(i)
		fmt.Fprintf(b, "message %s\n", m.FullName())
		for j := range m.Fields().Len() {
			writeField(b, m.Fields().Get(j))
		}
		writeEnums(b, m.Enums())
		writeMessages(b, m.Messages())
	}
}

func writeField(b *strings.Builder, f protoreflect.FieldDescriptor) {
	fmt.Fprintf(b, "  %d %s json %s %s %s", f.Number(), f.Name(), f.JSONName(), f.Cardinality(), f.Kind())
	switch {
	case f.Message() != nil:
		fmt.Fprintf(b, " %s", f.Message().FullName())
	case f.Enum() != nil:
		fmt.Fprintf(b, " %s", f.Enum().FullName())
	}
	if o := f.ContainingOneof(); o != nil {
		fmt.Fprintf(b, " one of %s", o.Name())
	}
	b.WriteByte('\n')
}

func writeEnums(b *strings.Builder, list protoreflect.EnumDescriptors) {
	for i := range list.Len() {
		e := list.Get(i)
		fmt.Fprintf(b, "enum %s\n", e.FullName())
		for j := range e.Values().Len() {
			fmt.Fprintf(b, "  %d %s\n", e.Values().Get(j).Number(), e.Values().Get(j).Name())
		}
	}
}

// Calls lists the paths under which drpc serves a service.
func Calls(d drpc.Description) string {
	var b strings.Builder
	for n := range d.NumMethods() {
		path, _, _, _, _ := d.Method(n)
		fmt.Fprintf(&b, "drpc %s\n", path)
	}
	return b.String()
}
