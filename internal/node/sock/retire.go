package sock

import (
	"net"
	"sync"
)

// Retiring is a listener that can stop accepting connections without an error from Accept. A server ends
// its connections, and with them the requests in progress, when Accept of its listener fails.
type Retiring struct {
	net.Listener
	retired chan struct{}
	closed  chan struct{}
	once    [2]sync.Once // for Retire and Close
}

// NewRetiring wraps a listener.
func NewRetiring(l net.Listener) *Retiring {
	return &Retiring{Listener: l, retired: make(chan struct{}), closed: make(chan struct{})}
}

// Retire closes the socket, so that new connections go to the other process that shares the address. Accept
// then blocks until Close.
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
