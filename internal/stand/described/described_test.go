package described_test

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/types/descriptorpb"
	"gotest.tools/v3/assert"

	"mangowinch/internal/stand/described"
)

// Guards against lists that omit nested messages, their enums, or fields of some kind.
func TestFileListsEverything(t *testing.T) {
	text := described.File(descriptorpb.File_google_protobuf_descriptor_proto)
	for _, line := range []string{
		"package google.protobuf\n",
		"message google.protobuf.DescriptorProto.ExtensionRange\n",
		"  1 name json name optional string\n",
		"  4 message_type json messageType repeated message google.protobuf.DescriptorProto\n",
		"enum google.protobuf.FieldDescriptorProto.Type\n",
		"  9 TYPE_STRING\n",
	} {
		assert.Assert(t, strings.Contains(text, line), "%q is missing", line)
	}
}
