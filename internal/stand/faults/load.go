package faults

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/stand/check"
	"mangowinch/internal/stand/client"
	"mangowinch/internal/stand/fleet"
	"mangowinch/internal/work/result"
)

const (
	callersPerNetwork = 3               // callers in each caller network of a document
	heavyFactor       = 4               // times as many callers under a heavy load, which fills all slots, so that requests wait and are handed over
	idleTimeout       = 5 * time.Second // of a caller's connection
	requestTimeout    = 20 * time.Second
	dialTimeout       = 5 * time.Second
	redialDelay       = 50 * time.Millisecond  // pause after a failed handshake
	reconnectOneIn    = 4                      // a caller reconnects after one in so many requests on average
	refusedDelay      = 50 * time.Millisecond  // pause after a request with outcome not-run
	maxRepeats        = 2                      // of a request that is unsent, or has a key and an unknown outcome
	feedInterval      = 20 * time.Millisecond  // time between two lines of a feed
	chunkInterval     = 10 * time.Millisecond  // time between two chunks of an upload
	chunkSize         = 16 << 10               // bytes of an upload that are sent at a time
	maxWorkTime       = 200 * time.Millisecond // time that a lookup takes at its server
)

// load runs all callers of one run and collects their attempts.
type load struct {
	cancel  context.CancelFunc // stops new requests; those in progress continue
	callers sync.WaitGroup

	mutex       sync.Mutex
	attempts    []check.Attempt
	dials       []handshake
	failedDials int
	repeated    int // requests of unknown outcome sent again with their key
}

// Heavy reports whether the load of a seed exceeds the slots of the servers. Even seeds have
// a heavy load.
func Heavy(seed uint64) bool { return seed%2 == 0 }

func startLoad(ctx context.Context, f *fleet.Fleet, seed uint64) *load {
	l := &load{}
	active, cancel := context.WithCancel(ctx)
	l.cancel = cancel
	number := uint64(0)
	callers := callersPerNetwork
	if Heavy(seed) {
		callers *= heavyFactor
	}
	for _, s := range f.Services {
		for _, c := range s.Callers {
			address := c.Networks[0].Addr()
			for range callers {
				address = address.Next()
				number++
				p := &caller{load: l, fleet: f, service: s, local: address, name: fmt.Sprintf("%s-%d", c.Name, number),
					random: rand.New(rand.NewPCG(seed, 100+number)), heavy: Heavy(seed)}
				l.callers.Go(func() { p.run(active, context.WithoutCancel(active)) })
			}
		}
	}
	return l
}

// stop stops new requests, waits for those in progress, and returns all attempts.
func (l *load) stop() []check.Attempt {
	l.cancel()
	l.callers.Wait()
	return l.attempts
}

// handshake records when a handshake began and ended.
type handshake struct {
	begun, ended time.Time
}

// openHandshakes returns the number of handshakes that were in progress at a time.
func (l *load) openHandshakes(at time.Time) (n int) {
	for _, d := range l.dials {
		if d.begun.Before(at) && d.ended.After(at) {
			n++
		}
	}
	return n
}

// caller is a simulated caller with its own connection.
type caller struct {
	load    *load
	fleet   *fleet.Fleet
	service *docs.Service
	local   netip.Addr
	name    string
	random  *rand.Rand
	heavy   bool
	sent    int    // requests so far
	key     string // request key from the last answer, for the next request
	conn    *client.Caller
}

// run sends requests until active is done. It uses ctx for the requests, so that those in
// progress can complete.
func (c *caller) run(active, ctx context.Context) {
	defer c.disconnect()
	for active.Err() == nil {
		if !c.connect(active, ctx) {
			return
		}
		a := c.attempt(ctx)
		c.load.mutex.Lock()
		c.load.attempts = append(c.load.attempts, a)
		c.load.mutex.Unlock()
		if a.Outcome == result.NotRun {
			time.Sleep(refusedDelay)
		}
		if c.random.IntN(reconnectOneIn) == 0 {
			c.disconnect()
		}
	}
}

// connect dials until it has a connection. It returns false if the load is stopped before.
func (c *caller) connect(active, ctx context.Context) bool {
	for c.conn == nil {
		if active.Err() != nil {
			return false
		}
		begun := time.Now()
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		conn, err := client.Dial(ctx, client.Settings{
			Local: c.local, Service: c.service.Address, Name: c.service.Name, Roots: c.fleet.Roots, IdleTimeout: idleTimeout,
		})
		cancel()
		c.load.dialed(begun, err)
		if err == nil {
			c.conn = conn
			return true
		}
		select {
		case <-active.Done():
		case <-time.After(redialDelay):
		}
	}
	return true
}

func (l *load) dialed(begun time.Time, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.dials = append(l.dials, handshake{begun: begun, ended: time.Now()})
	if err != nil {
		l.failedDials++
	}
}

func (c *caller) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
		c.key = "" // the agent that issued it may be unavailable; the next connection provides another
	}
}

// attempt sends one request and returns the attempt. It repeats a request that was not sent,
// or that must not run twice, has a key and has an unknown outcome.
func (c *caller) attempt(ctx context.Context) check.Attempt {
	c.sent++
	token := fmt.Sprintf("%s-%d", c.name, c.sent)
	a, build := c.newRequest(token)
	a.Begun = time.Now()
	key := c.key
	c.key = "" // a key is valid for one request
	for i := 0; ; i++ {
		answer := c.send(ctx, build(), key)
		a.Outcome, a.Reason, a.Got = answer.Outcome, answer.Reason, answer.Body
		a.Err = errorText(answer)
		if answer.Key != "" {
			c.key = answer.Key
		}
		if answer.Status == 0 || answer.Err != nil {
			c.disconnect() // the connection may have failed; the next request uses a new one
		}
		if answer.Reason == client.Unsent && i < maxRepeats && c.connect(ctx, ctx) {
			continue
		}
		if answer.Outcome != result.Unknown || !a.AtMostOnce || key == "" || i == maxRepeats || !c.connect(ctx, ctx) {
			break
		}
		c.load.mutex.Lock()
		c.load.repeated++
		c.load.mutex.Unlock()
	}
	a.Ended = time.Now()
	return a
}

func (c *caller) send(ctx context.Context, r client.Request, key string) client.Answer {
	limited, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r.Key = key
	answer := c.conn.Do(limited, r)
	if answer.Reason == client.Unsent {
		c.disconnect() // the agent is shutting down; callers continue on a new connection
	}
	return answer
}

func errorText(answer client.Answer) string {
	switch {
	case answer.Err != nil:
		return answer.Err.Error()
	case answer.Status != 200:
		return fmt.Sprintf("status %d", answer.Status)
	default:
		return ""
	}
}

// newRequest chooses a random request. The returned function builds the request again for
// each repeat, because a body can be read only once.
func (c *caller) newRequest(token string) (check.Attempt, func() client.Request) {
	// Under a heavy load a lookup may reach its deadline at its server.
	a := check.Attempt{Token: token, Service: c.service.Name, MustComplete: !c.heavy}
	work := time.Duration(c.random.Int64N(int64(maxWorkTime))).Round(time.Millisecond)
	switch n := c.random.IntN(100); {
	case n < 50:
		a.AtMostOnce = true
		return c.lookup(a, fmt.Sprintf("/lookup/%s?time=%s", token, work))
	case n < 70:
		return c.lookup(a, fmt.Sprintf("/status/%s?time=%s", token, work))
	case n < 85:
		return c.feed(a, fmt.Sprintf("/feed/%s?n=%d&every=%s", token, 20+c.random.IntN(80), feedInterval))
	default:
		return c.upload(a, "/upload/"+token, chunkSize*(10+c.random.IntN(60)))
	}
}

func (c *caller) lookup(a check.Attempt, path string) (check.Attempt, func() client.Request) {
	a.Want = fmt.Sprintf("%s %s\n", path, a.Token)
	return a, func() client.Request {
		return client.Request{Method: "POST", Path: path, Body: strings.NewReader(a.Token)}
	}
}

func (c *caller) feed(a check.Attempt, path string) (check.Attempt, func() client.Request) {
	a.Long, a.MustComplete = true, true
	var lines int
	_, query, _ := strings.Cut(path, "?n=")
	if _, err := fmt.Sscanf(query, "%d&", &lines); err != nil {
		panic(err) // can't happen: newRequest builds the path
	}
	var want strings.Builder
	for i := 1; i <= lines; i++ {
		fmt.Fprintf(&want, "%d %s\n", i, path)
	}
	a.Want = want.String()
	return a, func() client.Request { return client.Request{Method: "GET", Path: path} }
}

func (c *caller) upload(a check.Attempt, path string, size int) (check.Attempt, func() client.Request) {
	a.Long, a.MustComplete, a.AtMostOnce = true, true, true
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(c.random.Uint32())
	}
	a.Want = fmt.Sprintf("%s %d %x\n", path, size, sha256.Sum256(body))
	return a, func() client.Request {
		return client.Request{Method: "POST", Path: path, Body: &paced{rest: bytes.NewReader(body)}}
	}
}

// paced is a body that is sent at the rate of a slow line.
type paced struct {
	rest *bytes.Reader
}

// Read returns the next chunk after chunkInterval.
func (p *paced) Read(b []byte) (int, error) {
	if p.rest.Len() == 0 {
		return 0, io.EOF
	}
	time.Sleep(chunkInterval)
	return p.rest.Read(b[:min(len(b), chunkSize)])
}
