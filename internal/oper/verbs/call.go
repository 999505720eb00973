package verbs

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/work/result"
)

// Headers between callers and agents.
const (
	headerOutcome = "Outcome"
	headerReason  = "Reason"
	headerAfter   = "Retry-After"
	headerKey     = "Request-Key"
)

// keyPath is where an agent gives a request key before the first request.
const keyPath = "/.well-known/request-key"

// CallCmd is a caller for people.
type CallCmd struct {
	Lookup LookupCmd `cmd:"" help:"A short request: GET, or POST if it has a body."`
	Feed   FeedCmd   `cmd:"" help:"A feed: GET whose answer is printed as it comes, until it ends or is interrupted."`
	Upload UploadCmd `cmd:"" help:"A long body: POST of a file."`
}

// Help is shown under the verb's own --help.
func (*CallCmd) Help() string {
	return `The answer's body goes to standard output, what became of the request to standard error.

Exit codes: 0 it ran and the answer is whole; 1 it did not run; 2 wrong use, or no connection came about (so it
did not run either); 3 unknown: it may or may not have run, or the answer was cut.`
}

// callFlags is what every call takes.
type callFlags struct {
	URL       string        `arg:"" name:"url" help:"Such as https://127.0.10.1:4433/lookup/7."`
	CA        string        `name:"ca" type:"existingfile" help:"PEM file of certificates to trust in place of the system's."`
	Insecure  bool          `help:"Trust any certificate. For demonstrations only."`
	Local     netip.Addr    `help:"IP number of this machine to call from; callers are told apart by it."`
	FreshKey  bool          `xor:"key" help:"Get a request key first and send it along, so that the request can be repeated."`
	RepeatKey string        `xor:"key" help:"Key that a request was sent with: repeats that request, which is never run a second time."`
	Timeout   time.Duration `default:"30s" help:"Give up after this time without an answer; 0 is never."`
}

// LookupCmd sends a short request.
type LookupCmd struct {
	callFlags
	Body string `help:"Body of the request; with one, the method is POST."`
}

// FeedCmd opens a feed.
type FeedCmd struct {
	callFlags
}

// UploadCmd sends a file.
type UploadCmd struct {
	callFlags
	File string `required:"" help:"File to send; - is standard input."`
}

// Run sends the request.
func (c *LookupCmd) Run(ctx context.Context, o *console) error {
	method, body := http.MethodGet, io.Reader(nil)
	if c.Body != "" {
		method, body = http.MethodPost, strings.NewReader(c.Body)
	}
	return c.call(ctx, o, method, body)
}

// Run opens the feed and prints it.
func (c *FeedCmd) Run(ctx context.Context, o *console) error {
	return c.call(ctx, o, http.MethodGet, nil)
}

// Run sends the file.
func (c *UploadCmd) Run(ctx context.Context, o *console) error {
	if c.File == "-" {
		return c.call(ctx, o, http.MethodPost, o.in)
	}
	f, err := os.Open(c.File)
	if err != nil {
		return fail(exitUse, err)
	}
	defer f.Close()
	return c.call(ctx, o, http.MethodPost, f)
}

// ending is what became of one call.
type ending struct {
	status  string
	outcome string // as the answer said, or as it follows from how the call broke off
	reason  string
	after   string
	sent    string // key that the request was sent with
	key     string // fresh key for another request
	bytes   int64
	took    time.Duration
	cause   error
}

func (c *callFlags) call(ctx context.Context, o *console, method string, body io.Reader) error {
	client, err := c.client()
	if err != nil {
		return fail(exitUse, err)
	}
	defer client.close()
	request, err := http.NewRequestWithContext(ctx, method, c.URL, body)
	if err != nil {
		return fail(exitUse, err)
	}
	if request.URL.Scheme != "https" {
		return fail(exitUse, errors.Newf("%s: only https can be called", c.URL))
	}
	key := c.RepeatKey
	if c.FreshKey {
		if key, err = client.freshKey(ctx, request.URL); err != nil {
			return fail(exitUse, err)
		}
	}
	if key != "" {
		request.Header.Set(headerKey, key)
	}
	start := time.Now()
	e := c.send(client, request, o.out)
	e.sent = key
	e.took = time.Since(start)
	e.print(o.err)
	return fail(e.code(client.connected.Load()), e.failure())
}

// send sends the request and copies the answer's body to out.
func (c *callFlags) send(client *client, request *http.Request, out io.Writer) (e ending) {
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	if c.Timeout > 0 {
		// Only until the answer begins: a feed may then stay open for hours.
		timer := time.AfterFunc(c.Timeout, cancel)
		defer timer.Stop()
		client.answered = func() { timer.Stop() }
	}
	response, err := client.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		outcome := result.Unknown
		if !client.connected.Load() {
			outcome = result.NotRun // not a byte of the request was sent
		}
		return ending{outcome: outcome.String(), cause: err}
	}
	client.answered()
	defer response.Body.Close()
	e = ending{
		status:  response.Status,
		outcome: response.Header.Get(headerOutcome),
		reason:  response.Header.Get(headerReason),
		after:   response.Header.Get(headerAfter),
		key:     response.Header.Get(headerKey),
	}
	e.bytes, e.cause = io.Copy(out, response.Body)
	return e
}

// code returns the exit code.
func (e *ending) code(connected bool) int {
	switch {
	case !connected:
		return exitUse
	case e.outcome == result.NotRun.String():
		return exitFault
	case e.outcome == result.Ran.String() && e.cause == nil:
		return exitDone
	}
	return exitUnknown
}

// failure returns nil if the request ran and its answer is whole.
func (e *ending) failure() error {
	switch {
	case e.cause != nil && e.status != "":
		return errors.Wrapf(e.cause, "answer cut after %d bytes", e.bytes)
	case e.cause != nil:
		return e.cause
	case e.outcome == "":
		return errors.New("the answer does not say what became of the request")
	case e.outcome != result.Ran.String():
		return errors.Newf("%s: %s", e.outcome, e.reason)
	}
	return nil
}

func (e *ending) print(w io.Writer) {
	show := func(name, value string) {
		if value != "" {
			fmt.Fprintf(w, "%-12s %s\n", name, value)
		}
	}
	show("status", e.status)
	show("outcome", e.outcome)
	show("reason", e.reason)
	if e.after != "" {
		show("retry-after", e.after+" s")
	}
	show("sent-key", e.sent)
	show("fresh-key", e.key)
	show("bytes", strconv.FormatInt(e.bytes, 10))
	show("took", e.took.Round(time.Millisecond).String())
}
