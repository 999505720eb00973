package fleet

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// successorPort is the operators' port of a successor. It differs from that of the process
// being replaced, because both run on the same instance for a while.
const successorPort = 9001

// StartSuccessor starts a successor beside a running agent and returns its name once it is
// ready. Its settings differ from those of the agent only in the operators' address.
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
