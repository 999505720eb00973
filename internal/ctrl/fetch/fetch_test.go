package fetch_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/ctrl/fetch"
)

func TestNotFound(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	_, err := fetch.New(server.URL).Document(t.Context(), "missing")
	assert.ErrorIs(t, err, fetch.ErrNotFound)
}

// Guards against responses of another server at the platform's address, such as an HTML page or a
// very large body, that exhaust the memory or count as contact with the platform.
func TestInvalidResponses(t *testing.T) {
	var body string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, body)
	}))
	defer server.Close()
	c := fetch.New(server.URL)
	body = "<html>"
	_, err := c.Documents(t.Context())
	assert.ErrorContains(t, err, "platform documents")
	body = strings.Repeat("x", 2<<20)
	_, err = c.Document(t.Context(), "large")
	assert.ErrorContains(t, err, "more than")
	_, err = c.Document(t.Context(), "large")
	assert.Assert(t, err != nil)
	assert.Equal(t, c.Calls(), uint64(3))
}

// Guards against retries of a thousand processes at the same time, which overload the platform
// again after all of them lost it at once. After any number of failures their calls must be
// spread over the whole span, which never exceeds its limit.
func TestBackoffSpreads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failures := rapid.IntRange(0, 100).Draw(t, "failures")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		span := min(fetch.BackoffCap, fetch.BackoffBase<<min(max(failures-1, 0), 20))
		var quarters [4]int
		for range 1000 {
			d := fetch.Backoff(failures, fetch.BackoffBase, fetch.BackoffCap, r)
			assert.Assert(t, d >= 0 && d <= span)
			quarters[min(int(4*d/span), 3)]++
		}
		for _, n := range quarters {
			assert.Assert(t, n > 150 && n < 350, "uneven: %v", quarters)
		}
	})
}
