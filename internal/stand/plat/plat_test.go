package plat

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func writeFile(t *testing.T, directory, name, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(filepath.Join(directory, name), []byte(text), 0o600))
}

func get(t *testing.T, server *httptest.Server, path string) (header http.Header, body string) {
	t.Helper()
	answer, err := http.Get(server.URL + path)
	assert.NilError(t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	return answer.Header, string(text)
}

func TestRevisionGrowsWithText(t *testing.T) {
	directory := t.TempDir()
	writeFile(t, directory, "tracing-core.ini", "one")
	p := New(Settings{Directory: directory})
	server := httptest.NewServer(p.Reader())
	defer server.Close()

	header, body := get(t, server, "/documents/tracing-core")
	assert.Equal(t, header.Get("Revision"), "1")
	assert.Equal(t, body, "one")

	p.scan() // an unchanged text keeps its revision
	writeFile(t, directory, "tracing-core.ini", "two")
	p.scan()
	header, body = get(t, server, "/documents/tracing-core")
	assert.Equal(t, header.Get("Revision"), "2")
	assert.Equal(t, body, "two")

	writeFile(t, directory, "tracing-core.rev", "41\n")
	p.scan()
	_, body = get(t, server, "/documents")
	assert.Equal(t, body, `{"index":3,"documents":[{"name":"tracing-core","revision":41}]}`+"\n")
}

func TestWatchAnswersAtChange(t *testing.T) {
	directory := t.TempDir()
	writeFile(t, directory, "tracing-core.ini", "one")
	p := New(Settings{Directory: directory})
	server := httptest.NewServer(p.Reader())
	defer server.Close()

	changed := make(chan string)
	go func() {
		answer, err := http.Get(server.URL + "/watch?since=1")
		if err != nil {
			changed <- err.Error()
			return
		}
		defer answer.Body.Close()
		text, _ := io.ReadAll(answer.Body)
		changed <- string(text)
	}()
	writeFile(t, directory, "tracing-core.ini", "two")
	p.scan()
	assert.Equal(t, <-changed, `{"index":2,"documents":[{"name":"tracing-core","revision":2}]}`+"\n")
}

// A document changes, and the platform serves stale data and then fails altogether. Readers see the
// old revision, then closed connections, and the newest revision once the fault is cleared.
func TestStaleThenDown(t *testing.T) {
	directory := t.TempDir()
	writeFile(t, directory, "tracing-core.ini", "one")
	p := New(Settings{Directory: directory})
	server := httptest.NewServer(p.Reader())
	defer server.Close()
	writeFile(t, directory, "tracing-core.ini", "two")
	p.scan()

	p.SetFault(Fault{Mode: Stale, Back: 1})
	writeFile(t, directory, "tracing-core.ini", "three")
	p.scan()
	_, body := get(t, server, "/documents/tracing-core")
	assert.Equal(t, body, "one")

	p.SetFault(Fault{Mode: Down})
	_, err := http.Get(server.URL + "/documents") //nolint:bodyclose // there is no response
	assert.ErrorContains(t, err, "EOF")

	p.SetFault(Fault{Mode: OK})
	_, body = get(t, server, "/documents/tracing-core")
	assert.Equal(t, body, "three")
}

func TestReaderCannotWrite(t *testing.T) {
	server := httptest.NewServer(New(Settings{Directory: t.TempDir()}).Reader())
	defer server.Close()
	for _, path := range []string{"/documents", "/documents/tracing-core", "/instances", "/fault?mode=down"} {
		answer, err := http.Post(server.URL+path, "text/plain", nil)
		assert.NilError(t, err)
		answer.Body.Close()
		assert.Assert(t, answer.StatusCode >= 400, "%s: %d", path, answer.StatusCode)
	}
}

func TestCallsAreCounted(t *testing.T) {
	directory := t.TempDir()
	writeFile(t, directory, "instances.json", `[{"name":"e1","role":"entry","domain":"zg-a","address":"127.0.1.1:7000","state":"live"}]`)
	p := New(Settings{Directory: directory})
	reader, admin := httptest.NewServer(p.Reader()), httptest.NewServer(p.Admin())
	defer reader.Close()
	defer admin.Close()

	_, body := get(t, reader, "/instances")
	assert.Equal(t, body, `{"index":1,"instances":[{"name":"e1","role":"entry","domain":"zg-a","address":"127.0.1.1:7000","state":"live"}]}`+"\n")
	get(t, reader, "/instances")
	_, body = get(t, admin, "/calls")
	var calls map[string]uint64
	assert.NilError(t, json.Unmarshal([]byte(body), &calls))
	assert.DeepEqual(t, calls, map[string]uint64{"/instances": 2})
}

// Guards against a restore from a backup that readers cannot detect: the era must change.
func TestRestoreChangesEra(t *testing.T) {
	directory := t.TempDir()
	p := New(Settings{Directory: directory})
	server := httptest.NewServer(p.Reader())
	defer server.Close()
	for _, text := range []string{"one", "two", "three"} {
		writeFile(t, directory, "tracing-core.ini", text)
		p.scan()
	}
	p.restore(2)
	header, body := get(t, server, "/watch?since=9&era=0")
	assert.Equal(t, header.Get("Era"), "1")
	assert.Equal(t, body, `{"index":2,"documents":[{"name":"tracing-core","revision":1}]}`+"\n")
	p.scanPausedUntil = time.Time{}
	p.scan()
	header, body = get(t, server, "/documents/tracing-core")
	assert.Equal(t, header.Get("Revision"), "2")
	assert.Equal(t, body, "three")
}
