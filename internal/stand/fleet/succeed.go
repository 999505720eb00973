package fleet

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// successorPort is the operators' port of a successor, which runs beside the process
// that it replaces on the same instance.
const successorPort = 9001

// StartSuccessor starts a successor beside a running agent, with the same settings but for
// the operators' address, and returns its name once it is ready.
func (f *Fleet) StartSuccessor(ctx context.Context, name string) (successor string, err error) {
	defer func() { err = errors.Wrapf(err, "start successor of %s", name) }()
	old := f.Process(name)
	operator := netip.AddrPortFrom(old.Operator.Addr(), successorPort)
	text, err := os.ReadFile(filepath.Join(f.settingsDirectory(), name+".ini"))
	if err != nil {
		return "", err
	}
	successor = name + "-successor"
	file := filepath.Join(f.settingsDirectory(), successor+".settings")
	changed := strings.Replace(string(text), old.Operator.String(), operator.String(), 1)
	if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
		return "", err
	}
	f.add(successor, operator, filepath.Join(f.settings.Binaries, "mangowinch"), "agent", "--settings", file)
	if err := f.Process(successor).Start(); err != nil {
		return "", err
	}
	return successor, f.AwaitReady(ctx, successor)
}
