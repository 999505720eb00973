package sock

import (
	"net"
	"sync"
)

// Retiring is a listener that can stop taking connections without ending whoever
// serves it: a server whose listener fails ends the connections it has, and with
// them the requests on them.
type Retiring struct {
	net.Listener
	retired chan struct{}
	closed  chan struct{}
	once    [2]sync.Once // of Retire and Close
}

// NewRetiring wraps a listener.
func NewRetiring(l net.Listener) *Retiring {
	return &Retiring{Listener: l, retired: make(chan struct{}), closed: make(chan struct{})}
}

// Retire closes the socket, so that new connections go to whoever shares the address.
// Accept then waits until Close.
func (r *Retiring) Retire() (err error) {
	r.once[0].Do(func() {
		close(r.retired)
		err = r.Listener.Close()
	})
	return err
}

// Accept implements net.Listener.
func (r *Retiring) Accept() (net.Conn, error) {
	c, err := r.Listener.Accept()
	if err == nil {
		return c, nil
	}
	select {
	case <-r.retired:
		<-r.closed
	default:
	}
	return nil, err
}

// Close implements net.Listener.
func (r *Retiring) Close() (err error) {
	r.once[1].Do(func() {
		close(r.closed)
		err = r.Retire()
	})
	return err
}
