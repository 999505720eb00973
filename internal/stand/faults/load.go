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
	perNetwork  = 3                      // callers of each caller network of a document
	heavyFactor = 4                      // times as many fill all slots, so that requests wait and are handed over
	idleTimeout = 5 * time.Second        // a caller gives up a silent connection after this
	requestTime = 20 * time.Second       // and a request after this
	dialTime    = 5 * time.Second        // and a handshake
	redialAfter = 50 * time.Millisecond  // pause after a handshake that failed
	reconnects  = 4                      // one in so many requests is the last of its connection
	refusedWait = 50 * time.Millisecond  // after a request that was refused
	repeats     = 2                      // of a request that was not sent, or is unknown and has a key
	feedEvery   = 20 * time.Millisecond  // between two lines
	chunkEvery  = 10 * time.Millisecond  // pace of an upload
	chunkSize   = 16 << 10               //
	longestWork = 200 * time.Millisecond // of a lookup at its server
)

// load is all callers of one run.
type load struct {
	cancel  context.CancelFunc // ends the asking, not what is in progress
	callers sync.WaitGroup

	mutex    sync.Mutex
	attempts []check.Attempt
	dials    []dialing
	undialed int // dials that failed
	repeated int // requests of unknown outcome sent again with their key
}

// Heavy says whether the load of a seed is more than the servers have slots for:
// that of each even seed.
func Heavy(seed uint64) bool { return seed%2 == 0 }

func startLoad(ctx context.Context, f *fleet.Fleet, seed uint64) *load {
	l := &load{}
	asking, cancel := context.WithCancel(ctx)
	l.cancel = cancel
	number := uint64(0)
	callers := perNetwork
	if Heavy(seed) {
		callers *= heavyFactor
	}
	for _, s := range f.Services {
		for _, c := range s.Callers {
			address := c.Networks[0].Addr()
			for range callers {
				address = address.Next()
				number++
				p := &party{load: l, fleet: f, service: s, local: address, name: fmt.Sprintf("%s-%d", c.Name, number),
					random: rand.New(rand.NewPCG(seed, 100+number)), heavy: Heavy(seed)}
				l.callers.Go(func() { p.run(asking, context.WithoutCancel(asking)) })
			}
		}
	}
	return l
}

// stop ends the load, waits for what is in progress and returns everything asked.
func (l *load) stop() []check.Attempt {
	l.cancel()
	l.callers.Wait()
	return l.attempts
}

// dialing is the time that a handshake took.
type dialing struct {
	begun, ended time.Time
}

// opening counts the handshakes that were half done at a time.
func (l *load) opening(at time.Time) (n int) {
	for _, d := range l.dials {
		if d.begun.Before(at) && d.ended.After(at) {
			n++
		}
	}
	return n
}

// party is one caller with a connection of its own.
type party struct {
	load    *load
	fleet   *fleet.Fleet
	service *docs.Service
	local   netip.Addr
	name    string
	random  *rand.Rand
	heavy   bool
	asked   int
	key     string // of the last answer, for the next request
	caller  *client.Caller
}

func (p *party) run(asking, ctx context.Context) {
	defer p.hangUp()
	for asking.Err() == nil {
		if !p.connect(asking, ctx) {
			return
		}
		a := p.ask(ctx)
		p.load.mutex.Lock()
		p.load.attempts = append(p.load.attempts, a)
		p.load.mutex.Unlock()
		if a.Outcome == result.NotRun {
			time.Sleep(refusedWait)
		}
		if p.random.IntN(reconnects) == 0 {
			p.hangUp()
		}
	}
}

// connect dials until a connection is there. It reports false when the run ends.
func (p *party) connect(asking, ctx context.Context) bool {
	for p.caller == nil {
		if asking.Err() != nil {
			return false
		}
		begun := time.Now()
		ctx, cancel := context.WithTimeout(ctx, dialTime)
		caller, err := client.Dial(ctx, client.Settings{
			Local: p.local, Service: p.service.Address, Name: p.service.Name, Roots: p.fleet.Roots, IdleTimeout: idleTimeout,
		})
		cancel()
		p.load.dialed(begun, err)
		if err == nil {
			p.caller = caller
			return true
		}
		select {
		case <-asking.Done():
		case <-time.After(redialAfter):
		}
	}
	return true
}

func (l *load) dialed(begun time.Time, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.dials = append(l.dials, dialing{begun: begun, ended: time.Now()})
	if err != nil {
		l.undialed++
	}
}

func (p *party) hangUp() {
	if p.caller != nil {
		p.caller.Close()
		p.caller = nil
		p.key = "" // its owner may be gone; the next connection brings another
	}
}

// ask sends one request, repeats it if its outcome is unknown and it has a key, and
// returns the attempt.
func (p *party) ask(ctx context.Context) check.Attempt {
	p.asked++
	token := fmt.Sprintf("%s-%d", p.name, p.asked)
	a, build := p.choose(token)
	a.Begun = time.Now()
	key := p.key
	p.key = "" // a key is for one request
	for i := 0; ; i++ {
		answer := p.send(ctx, build(), key)
		a.Outcome, a.Reason, a.Got = answer.Outcome, answer.Reason, answer.Body
		a.Err = describe(answer)
		if answer.Key != "" {
			p.key = answer.Key
		}
		if answer.Status == 0 || answer.Err != nil {
			p.hangUp() // the connection may be dead; the next request gets a new one
		}
		if answer.Reason == client.Unsent && i < repeats && p.connect(ctx, ctx) {
			continue
		}
		if answer.Outcome != result.Unknown || !a.AtMostOnce || key == "" || i == repeats || !p.connect(ctx, ctx) {
			break
		}
		p.load.mutex.Lock()
		p.load.repeated++
		p.load.mutex.Unlock()
	}
	a.Ended = time.Now()
	return a
}

func (p *party) send(ctx context.Context, r client.Request, key string) client.Answer {
	limited, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	r.Key = key
	answer := p.caller.Do(limited, r)
	if answer.Reason == client.Unsent {
		p.hangUp() // the agent stops; as any caller does, this one goes on by a new connection
	}
	return answer
}

func describe(answer client.Answer) string {
	switch {
	case answer.Err != nil:
		return answer.Err.Error()
	case answer.Status != 200:
		return fmt.Sprintf("status %d", answer.Status)
	default:
		return ""
	}
}

// choose draws a request. The function makes it anew for each sending.
func (p *party) choose(token string) (check.Attempt, func() client.Request) {
	// Under a heavy load a lookup may reach its deadline at its server.
	a := check.Attempt{Token: token, Service: p.service.Name, MustComplete: !p.heavy}
	work := time.Duration(p.random.Int64N(int64(longestWork))).Round(time.Millisecond)
	switch n := p.random.IntN(100); {
	case n < 50:
		a.AtMostOnce = true
		return p.lookup(a, fmt.Sprintf("/lookup/%s?time=%s", token, work))
	case n < 70:
		return p.lookup(a, fmt.Sprintf("/status/%s?time=%s", token, work))
	case n < 85:
		return p.feed(a, fmt.Sprintf("/feed/%s?n=%d&every=%s", token, 20+p.random.IntN(80), feedEvery))
	default:
		return p.upload(a, "/upload/"+token, chunkSize*(10+p.random.IntN(60)))
	}
}

func (p *party) lookup(a check.Attempt, path string) (check.Attempt, func() client.Request) {
	a.Want = fmt.Sprintf("%s %s\n", path, a.Token)
	return a, func() client.Request {
		return client.Request{Method: "POST", Path: path, Body: strings.NewReader(a.Token)}
	}
}

func (p *party) feed(a check.Attempt, path string) (check.Attempt, func() client.Request) {
	a.Long, a.MustComplete = true, true
	var lines int
	_, query, _ := strings.Cut(path, "?n=")
	if _, err := fmt.Sscanf(query, "%d&", &lines); err != nil {
		panic(err) // the path was made above
	}
	var want strings.Builder
	for i := 1; i <= lines; i++ {
		fmt.Fprintf(&want, "%d %s\n", i, path)
	}
	a.Want = want.String()
	return a, func() client.Request { return client.Request{Method: "GET", Path: path} }
}

func (p *party) upload(a check.Attempt, path string, size int) (check.Attempt, func() client.Request) {
	a.Long, a.MustComplete, a.AtMostOnce = true, true, true
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(p.random.Uint32())
	}
	a.Want = fmt.Sprintf("%s %d %x\n", path, size, sha256.Sum256(body))
	return a, func() client.Request {
		return client.Request{Method: "POST", Path: path, Body: &paced{rest: bytes.NewReader(body)}}
	}
}

// paced is a body that comes at the pace of a slow line.
type paced struct {
	rest *bytes.Reader
}

// Read returns the next chunk after a while.
func (p *paced) Read(b []byte) (int, error) {
	if p.rest.Len() == 0 {
		return 0, io.EOF
	}
	time.Sleep(chunkEvery)
	return p.rest.Read(b[:min(len(b), chunkSize)])
}
