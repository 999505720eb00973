// Package fetch reads the platform: service documents, the watch for changes
// of them, and the list of instances.
//
// It exists because every reader of the platform has to be polite in the same
// way: the platform answers about two thousand calls a second for the whole
// fleet, a waiting watch counts as one, and it may be down for an hour. So each
// client limits its own rate, each answer is bounded in size, and whoever
// repeats a call waits first, by Backoff.
//
// It does not decide who calls the platform (package duty), nor which version
// of a document counts (package store), nor does it ask other processes
// (package relay). It never writes.
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
	callsPerSecond = 10               // some 21 watchers at once make 210 of the 2,000
	callsBurst     = 20               // a small site's documents at once
	maxBody        = 1<<20 + 4096     // one document, with room for what is no text
	maxList        = 8 << 20          // 8,000 instances at a kilobyte
	callTimeout    = 5 * time.Second  // it answers in milliseconds; more means that it is in trouble
	watchTimeout   = 35 * time.Second // it answers a watch after 25 s at the latest
)

// ErrNotFound says that the platform has no such document.
var ErrNotFound = errors.New("not found")

// Item names a version of a document.
type Item struct {
	Name     string         `json:"name"`
	Revision order.Revision `json:"revision"`
}

// List is what the platform has at one index.
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

// Instance is one process of the system as the platform lists it, late.
type Instance struct {
	Name    string         `json:"name"`
	Role    string         `json:"role"` // entry or agent
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"` // its link
	State   string         `json:"state"`   // live or leaving
}

// Instances is the platform's list of instances at one index.
type Instances struct {
	Index     uint64     `json:"index"`
	Instances []Instance `json:"instances"`
}

// Client calls one platform. Its methods may be called from any goroutine.
type Client struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter
	contact atomic.Int64 // unix nanoseconds of the last answer
	calls   atomic.Uint64
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
		limiter: rate.NewLimiter(callsPerSecond, callsBurst),
	}
}

// LastContact returns when the platform last answered, and the zero time when it never did.
func (c *Client) LastContact() time.Time {
	n := c.contact.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Calls returns how many calls were sent, whatever became of them.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Documents lists the names and revisions of all documents.
func (c *Client) Documents(ctx context.Context) (list List, err error) {
	return c.list(ctx, "documents", "/documents", callTimeout)
}

// Watch waits until the platform's index is over since or its era is another one, for 25 s at most, and
// lists the names and revisions of all documents.
func (c *Client) Watch(ctx context.Context, since order.Revision) (list List, err error) {
	return c.list(ctx, "watch", fmt.Sprintf("/watch?since=%d&era=%d", since.Number(), since.Era()), watchTimeout)
}

// list makes a call that lists documents. Numbers in its answer are of the era that a header names.
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

// eraHeader names the era of an answer. It rises by one each time that the platform comes back from a copy; a platform
// that never does sends none.
const eraHeader = "Era"

// Instances lists the processes of the system as the platform knows them.
func (c *Client) Instances(ctx context.Context) (list Instances, err error) {
	_, err = c.get(ctx, "instances", "/instances", callTimeout, maxList, &list)
	return list, err
}

// Document reads the newest version of one document that the platform has.
func (c *Client) Document(ctx context.Context, name string) (document Document, err error) {
	defer func() { err = errors.Wrapf(err, "document %q", name) }()
	document.Name = name
	header, err := c.get(ctx, "document", "/documents/"+url.PathEscape(name), callTimeout, maxBody, &document.Text)
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

// get carries out one call. The body goes into out: as it is into a *[]byte, else as JSON.
func (c *Client) get(ctx context.Context, call, path string, timeout time.Duration, limit int64, out any) (header http.Header, err error) {
	defer func() {
		err = errors.Wrapf(err, "platform %s", call)
		if err != nil {
			count(call, reason(err))
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
	count(call, "sent")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		c.contact.Store(time.Now().UnixNano())
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
		return nil, errors.Mark(err, errBroken)
	}
	c.contact.Store(time.Now().UnixNano())
	return response.Header, nil
}

// Marks that give each failed call the reason of its counter.
var (
	errLimited = errors.New("own rate limit")
	errStatus  = errors.New("refused")
	errLarge   = errors.New("too large")
	errBroken  = errors.New("not JSON")
)

func reason(err error) string {
	switch {
	case errors.Is(err, errLimited):
		return "limited"
	case errors.Is(err, ErrNotFound):
		return "missing"
	case errors.Is(err, errStatus):
		return "status"
	case errors.Is(err, errLarge):
		return "large"
	case errors.Is(err, errBroken):
		return "broken"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "canceled"
	default:
		return "unreachable"
	}
}

func count(call, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_platform_calls_total{call=%q,result=%q}`, call, reason)).Inc()
}
