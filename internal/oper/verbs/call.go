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

// Headers of requests and responses between callers and agents.
const (
	headerOutcome = "Outcome"
	headerReason  = "Reason"
	headerAfter   = "Retry-After"
	headerKey     = "Request-Key"
)

// keyPath is the path from which a caller can get a request key before its first request.
const keyPath = "/.well-known/request-key"

// CallCmd sends single requests as a caller, for manual use.
type CallCmd struct {
	Lookup LookupCmd `cmd:"" help:"A short request: GET, or POST if it has a body."`
	Feed   FeedCmd   `cmd:"" help:"A feed: GET whose answer is printed as it comes, until it ends or is interrupted."`
	Upload UploadCmd `cmd:"" help:"A long body: POST of a file."`
}

// Help returns the text that the command's --help shows below the usage line.
func (*CallCmd) Help() string {
	return `The answer's body goes to standard output, what became of the request to standard error.

Exit codes: 0 it ran and the answer is whole; 1 it did not run; 2 wrong use, or no connection came about (so it
did not run either); 3 unknown: it may or may not have run, or the answer was cut.`
}

// callFlags are the flags and arguments that all kinds of call have.
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

// Run opens the feed and writes it to the output until the feed ends.
func (c *FeedCmd) Run(ctx context.Context, o *console) error {
	return c.call(ctx, o, http.MethodGet, nil)
}

// Run uploads the file.
func (c *UploadCmd) Run(ctx context.Context, o *console) error {
	if c.File == "-" {
		return c.call(ctx, o, http.MethodPost, o.in)
	}
	f, err := os.Open(c.File)
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	defer f.Close()
	return c.call(ctx, o, http.MethodPost, f)
}

// callResult is the result of one call.
type callResult struct {
	status     string
	outcome    string // from the response, or derived from how the call failed
	reason     string
	retryAfter string
	sentKey    string // key with which the request was sent
	freshKey   string // unused key for another request, from the response
	bytes      int64
	elapsed    time.Duration
	err        error
}

func (c *callFlags) call(ctx context.Context, o *console, method string, body io.Reader) error {
	client, err := c.client()
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	defer client.close()
	request, err := http.NewRequestWithContext(ctx, method, c.URL, body)
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	if request.URL.Scheme != "https" {
		return withExitCode(exitUsage, errors.Newf("%s: only https URLs are supported", c.URL))
	}
	key := c.RepeatKey
	if c.FreshKey {
		if key, err = client.freshKey(ctx, request.URL); err != nil {
			return withExitCode(exitUsage, err)
		}
	}
	if key != "" {
		request.Header.Set(headerKey, key)
	}
	start := time.Now()
	r := c.send(client, request, o.out)
	r.sentKey = key
	r.elapsed = time.Since(start)
	r.print(o.err)
	return withExitCode(r.exitCode(client.connected.Load()), r.failure())
}

// send sends the request and copies the body of the response to out.
func (c *callFlags) send(client *client, request *http.Request, out io.Writer) (r callResult) {
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	if c.Timeout > 0 {
		// The timeout ends when the response begins: a feed may then stay open for hours.
		timer := time.AfterFunc(c.Timeout, cancel)
		defer timer.Stop()
		client.onResponse = func() { timer.Stop() }
	}
	response, err := client.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		outcome := result.Unknown
		if !client.connected.Load() {
			outcome = result.NotRun // no byte of the request was sent
		}
		return callResult{outcome: outcome.String(), err: err}
	}
	client.onResponse()
	defer response.Body.Close()
	r = callResult{
		status:     response.Status,
		outcome:    response.Header.Get(headerOutcome),
		reason:     response.Header.Get(headerReason),
		retryAfter: response.Header.Get(headerAfter),
		freshKey:   response.Header.Get(headerKey),
	}
	r.bytes, r.err = io.Copy(out, response.Body)
	return r
}

// exitCode returns the exit code of the program for the result.
func (r *callResult) exitCode(connected bool) int {
	switch {
	case !connected:
		return exitUsage
	case r.outcome == result.NotRun.String():
		return exitFailure
	case r.outcome == result.Ran.String() && r.err == nil:
		return exitOK
	}
	return exitUnknown
}

// failure returns an error that describes why the call failed, or nil if the request ran and its response is complete.
func (r *callResult) failure() error {
	switch {
	case r.err != nil && r.status != "":
		return errors.Wrapf(r.err, "response truncated after %d bytes", r.bytes)
	case r.err != nil:
		return r.err
	case r.outcome == "":
		return errors.New("the response has no Outcome header")
	case r.outcome != result.Ran.String():
		return errors.Newf("%s: %s", r.outcome, r.reason)
	}
	return nil
}

func (r *callResult) print(w io.Writer) {
	show := func(name, value string) {
		if value != "" {
			fmt.Fprintf(w, "%-12s %s\n", name, value)
		}
	}
	show("status", r.status)
	show("outcome", r.outcome)
	show("reason", r.reason)
	if r.retryAfter != "" {
		show("retry-after", r.retryAfter+" s")
	}
	show("sent-key", r.sentKey)
	show("fresh-key", r.freshKey)
	show("bytes", strconv.FormatInt(r.bytes, 10))
	show("took", r.elapsed.Round(time.Millisecond).String())
}
