package verbs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/oper/admin"
)

// Bounds of one question to a running process.
const (
	statusTimeout = 5 * time.Second
	maxStatus     = 64 << 20 // bytes
)

// StatusCmd asks a running process.
type StatusCmd struct {
	Address  string   `arg:"" help:"Operators' address of the process, such as 127.0.1.1:9000."`
	Sections []string `arg:"" optional:"" name:"section" help:"Show only these sections."`
	JSON     bool     `name:"json" help:"Print the answer as the process gave it."`
}

// Help is shown under the verb's own --help.
func (*StatusCmd) Help() string {
	return `Exit codes: 0 the process is ready; 1 it answers and is not ready; 2 nothing answers or wrong use.`
}

// Run asks and prints.
func (c *StatusCmd) Run(ctx context.Context, o *console) error {
	address, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return fail(exitUse, err)
	}
	text, err := ask(ctx, "http://"+address.String()+"/status")
	if err != nil {
		return fail(exitUse, err)
	}
	var report admin.Report
	if err := json.Unmarshal(text, &report); err != nil {
		return fail(exitUse, errors.Wrap(err, "answer of the process"))
	}
	if c.JSON {
		fmt.Fprintf(o.out, "%s", text)
	} else if err := c.print(o.out, &report); err != nil {
		return fail(exitUse, err)
	}
	if !report.Ready {
		return fail(exitFault, errors.New("not ready"))
	}
	return nil
}

func (c *StatusCmd) print(w io.Writer, r *admin.Report) error {
	t := &tree{w: w}
	if r.Ready {
		t.line(0, "ready")
	} else {
		t.line(0, "not ready")
	}
	for _, s := range r.Conditions {
		since := s.Since.UTC().Format(time.RFC3339)
		if s.Met {
			t.line(1, fmt.Sprintf("%s: met since %s", s.Name, since))
			continue
		}
		t.line(1, fmt.Sprintf("%s: %s (since %s)", s.Name, s.Reason, since))
	}
	if len(c.Sections) == 0 {
		for _, name := range sorted(r.Sections) {
			t.value(0, name, r.Sections[name])
		}
		return nil
	}
	for _, name := range c.Sections {
		section, ok := r.Sections[name]
		if !ok {
			return errors.Newf("no section %q; there are %v", name, sorted(r.Sections))
		}
		t.value(0, name, section)
	}
	return nil
}

// ask gets one page of a process.
func ask(ctx context.Context, url string) (text []byte, err error) {
	defer func() { err = errors.Wrapf(err, "ask %s", url) }()

	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("answer %s", response.Status)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxStatus))
}
