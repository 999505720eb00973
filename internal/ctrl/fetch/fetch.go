// Package fetch is a client of the platform's read API: service documents, the watch
// for their changes, and the list of instances.
//
// It exists because all readers of the platform must limit their load in the same
// way: the platform serves about two thousand calls a second for the whole fleet, a
// pending watch counts as one, and the platform may be down for an hour. So each
// client limits its call rate, each response is bounded in size, and callers wait for
// Backoff before they retry.
//
// It does not select the processes that call the platform (package duty), nor the
// version of a document that is in force (package store), and does not query other
// processes (package relay). It never writes.
//
// # Usage
//
//	client := fetch.New("http://127.0.0.1:8080")
//	list, err := client.Documents(ctx)
//	document, err := client.Document(ctx, "tracing-core")
//	list, err = client.Watch(ctx, list.Index) // waits up to 25 s for a change
package fetch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"mangowinch/internal/flow/order"
)

// Limits of one client.
const (
	callsPerSecond = 10               // 21 watchers together make 210 of the 2,000 calls a second
	callBurst      = 20               // all documents of a small site at once
	maxDocument    = 1<<20 + 4096     // a document of 1 MiB, with room for other data
	maxList        = 8 << 20          // 8,000 instances of a kilobyte each
	callTimeout    = 5 * time.Second  // the platform responds in milliseconds unless it is failing
	watchTimeout   = 35 * time.Second // the platform responds to a watch after 25 s at the latest
)

// ErrNotFound is returned if the platform does not have the requested document.
var ErrNotFound = errors.New("not found")

// Item names a version of a document.
type Item struct {
	Name     string         `json:"name"`
	Revision order.Revision `json:"revision"`
}

// List lists the platform's documents at one index.
type List struct {
	Index     order.Revision `json:"index"`
	Documents []Item         `json:"documents"`
}

// Document is one version of a document.
type Document struct {
	Name     string
	Revision order.Revision
	Text     []byte
}

// Instance is one process of the system in the platform's list, which lags behind.
type Instance struct {
	Name    string         `json:"name"`
	Role    string         `json:"role"` // entry or agent
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"` // where other processes reach it
	State   string         `json:"state"`   // live or leaving
}

// Instances is the platform's list of instances at one index.
type Instances struct {
	Index     uint64     `json:"index"`
	Instances []Instance `json:"instances"`
}

// Client calls one platform. Its methods may be called from any goroutine.
type Client struct {
	base        string
	http        *http.Client
	limiter     *rate.Limiter
	lastContact atomic.Int64 // Unix nanoseconds of the last valid response
	calls       atomic.Uint64
}

// New returns a client of the platform at base, a URL such as http://127.0.0.1:8080.
func New(base string) *Client {
	return NewWith(base, http.DefaultTransport)
}

// NewWith is New with another transport.
func NewWith(base string, transport http.RoundTripper) *Client {
	return &Client{
		base:    base,
		http:    &http.Client{Transport: transport},
		limiter: rate.NewLimiter(callsPerSecond, callBurst),
	}
}

// LastContact returns the time of the platform's last valid response, or the zero time if there was none.
func (c *Client) LastContact() time.Time {
	n := c.lastContact.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Calls returns the number of calls that were sent, including failed ones.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Documents lists the names and revisions of all documents.
func (c *Client) Documents(ctx context.Context) (list List, err error) {
	return c.list(ctx, "documents", "/documents", callTimeout)
}

// Watch waits until the platform's index is higher than since or its era differs, for 25 s at most, and
// then lists the names and revisions of all documents.
func (c *Client) Watch(ctx context.Context, since order.Revision) (list List, err error) {
	return c.list(ctx, "watch", fmt.Sprintf("/watch?since=%d&era=%d", since.Number(), since.Era()), watchTimeout)
}

// list makes a call that lists documents. A header of the response states the era of its numbers.
func (c *Client) list(ctx context.Context, call, path string, timeout time.Duration) (list List, err error) {
	header, err := c.get(ctx, call, path, timeout, maxList, &list)
	if err != nil {
		return List{}, err
	}
	era, err := order.ParseEra(header.Get(eraHeader))
	list.Index = order.At(era, uint64(list.Index))
	for i, d := range list.Documents {
		list.Documents[i].Revision = order.At(era, uint64(d.Revision))
	}
	return list, err
}

// eraHeader is the header that states the era of a response. The era increases by one each time the platform's store
// is restored from a backup. A platform without eras doesn't send the header.
const eraHeader = "Era"

// Instances lists the processes of the system that the platform knows.
func (c *Client) Instances(ctx context.Context) (list Instances, err error) {
	_, err = c.get(ctx, "instances", "/instances", callTimeout, maxList, &list)
	return list, err
}

// Document reads the platform's latest version of a document.
func (c *Client) Document(ctx context.Context, name string) (document Document, err error) {
	defer func() { err = errors.Wrapf(err, "document %q", name) }()
	document.Name = name
	header, err := c.get(ctx, "document", "/documents/"+url.PathEscape(name), callTimeout, maxDocument, &document.Text)
	if err != nil {
		return document, err
	}
	number, err := strconv.ParseUint(header.Get("Revision"), 10, 64)
	if err != nil {
		return document, err
	}
	era, err := order.ParseEra(header.Get(eraHeader))
	document.Revision = order.At(era, number)
	return document, err
}

// get makes one call. It stores the body in out: unchanged if out is a *[]byte, otherwise parsed as JSON.
func (c *Client) get(ctx context.Context, call, path string, timeout time.Duration, limit int64, out any) (header http.Header, err error) {
	defer func() {
		err = errors.Wrapf(err, "platform %s", call)
		if err != nil {
			countCall(call, failureReason(err))
		}
	}()
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, errors.Mark(err, errLimited)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, err
	}
	c.calls.Add(1)
	countCall(call, "sent")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		c.lastContact.Store(time.Now().UnixNano())
		return nil, ErrNotFound
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Mark(errors.Newf("status %d", response.StatusCode), errStatus)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.Mark(errors.Newf("more than %d bytes", limit), errLarge)
	}
	if text, ok := out.(*[]byte); ok {
		*text = body
	} else if err := json.Unmarshal(body, out); err != nil {
		return nil, errors.Mark(err, errMalformed)
	}
	c.lastContact.Store(time.Now().UnixNano())
	return response.Header, nil
}

// Marks on the errors of failed calls, from which failureReason derives the label of their counter.
var (
	errLimited   = errors.New("own rate limit")
	errStatus    = errors.New("refused")
	errLarge     = errors.New("too large")
	errMalformed = errors.New("not JSON")
)

// failureReason returns the result label with which a failed call is counted.
func failureReason(err error) string {
	switch {
	case errors.Is(err, errLimited):
		return "limited"
	case errors.Is(err, ErrNotFound):
		return "missing"
	case errors.Is(err, errStatus):
		return "status"
	case errors.Is(err, errLarge):
		return "large"
	case errors.Is(err, errMalformed):
		return "broken"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "canceled"
	default:
		return "unreachable"
	}
}

// countCall counts a call that was sent, or that failed for a reason.
func countCall(call, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_platform_calls_total{call=%q,result=%q}`, call, reason)).Inc()
}
