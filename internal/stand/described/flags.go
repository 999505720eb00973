package described

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// CommandLine lists the commands, arguments and flags of a program. Kong derives their names from the names of the Go
// fields, unless a tag sets another name.
func CommandLine(commands any, options ...kong.Option) (string, error) {
	k, err := kong.New(commands, append([]kong.Option{kong.Name("program")}, options...)...)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	writeCommand(&b, k.Model.Node)
	return b.String(), nil
}

func writeCommand(b *strings.Builder, n *kong.Node) {
	fmt.Fprintf(b, "command %s\n", n.Path())
	for _, a := range n.Positional {
		fmt.Fprintf(b, "  argument %s\n", a.Name)
	}
	for _, f := range n.Flags {
		fmt.Fprintf(b, "  --%s choice %q variables %q\n", f.Name, f.Enum, f.Envs)
	}
	for _, c := range n.Children {
		writeCommand(b, c)
	}
}
