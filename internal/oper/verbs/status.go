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

// Limits of one query to a running process.
const (
	statusTimeout = 5 * time.Second
	maxStatus     = 64 << 20 // bytes
)

// StatusCmd prints the /status page of a running process.
type StatusCmd struct {
	Address  string   `arg:"" help:"Operators' address of the process, such as 127.0.1.1:9000."`
	Sections []string `arg:"" optional:"" name:"section" help:"Show only these sections."`
	JSON     bool     `name:"json" help:"Print the answer as the process gave it."`
}

// Help returns the text that the command's --help shows below the usage line.
func (*StatusCmd) Help() string {
	return `Exit codes: 0 the process is ready; 1 it answers and is not ready; 2 nothing answers or wrong use.`
}

// Run queries the process and prints its status.
func (c *StatusCmd) Run(ctx context.Context, o *console) error {
	address, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	text, err := fetch(ctx, "http://"+address.String()+"/status")
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	var report admin.Report
	if err := json.Unmarshal(text, &report); err != nil {
		return withExitCode(exitUsage, errors.Wrap(err, "decode status"))
	}
	if c.JSON {
		fmt.Fprintf(o.out, "%s", text)
	} else if err := c.print(o.out, &report); err != nil {
		return withExitCode(exitUsage, err)
	}
	if !report.Ready {
		return withExitCode(exitFailure, errors.New("not ready"))
	}
	return nil
}

func (c *StatusCmd) print(w io.Writer, r *admin.Report) error {
	t := &treePrinter{w: w}
	if r.Ready {
		t.printLine(0, "ready")
	} else {
		t.printLine(0, "not ready")
	}
	for _, s := range r.Conditions {
		since := s.Since.UTC().Format(time.RFC3339)
		if s.Met {
			t.printLine(1, fmt.Sprintf("%s: met since %s", s.Name, since))
			continue
		}
		t.printLine(1, fmt.Sprintf("%s: %s (since %s)", s.Name, s.Reason, since))
	}
	if len(c.Sections) == 0 {
		for _, name := range sortedKeys(r.Sections) {
			t.printValue(0, name, r.Sections[name])
		}
		return nil
	}
	for _, name := range c.Sections {
		section, ok := r.Sections[name]
		if !ok {
			return errors.Newf("no section %q; there are %v", name, sortedKeys(r.Sections))
		}
		t.printValue(0, name, section)
	}
	return nil
}

// fetch gets one page from the operators' HTTP server of a process.
func fetch(ctx context.Context, url string) (text []byte, err error) {
	defer func() { err = errors.Wrapf(err, "GET %s", url) }()

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
		return nil, errors.Newf("unexpected status %s", response.Status)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxStatus))
}
