package sock

import (
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a replaced agent process that still gets new connections, and against a server that ends
// when its listener is retired: the requests on its connections would end with it.
func TestRetiredListenerLeavesTheAddressToItsSuccessor(t *testing.T) {
	first, err := TCP(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), Shared)
	assert.NilError(t, err)
	old := NewRetiring(first)
	ended := make(chan error, 1)
	go func() {
		_, err := old.Accept()
		ended <- err
	}()
	address := first.Addr().(*net.TCPAddr).AddrPort()
	successor, err := TCP(t.Context(), address, Shared)
	assert.NilError(t, err)
	defer successor.Close()
	assert.NilError(t, old.Retire())
	for range 20 {
		c, err := net.Dial("tcp", address.String())
		assert.NilError(t, err)
		_, err = successor.Accept()
		assert.NilError(t, err)
		c.Close()
	}
	assert.Equal(t, len(ended), 0)
	assert.NilError(t, old.Close())
	assert.ErrorIs(t, <-ended, net.ErrClosed)
}
