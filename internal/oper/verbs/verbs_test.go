package verbs

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/quic-go/quic-go/http3"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/flow/order"
	"mangowinch/internal/load/room"
	"mangowinch/internal/node/start"
	"mangowinch/internal/oper/admin"
)

// run runs one command line and returns its exit code and output.
func run(args ...string) (code int, out, err string) {
	var o, e bytes.Buffer
	code = Main(args, strings.NewReader("from standard input"), &o, &e)
	return code, o.String(), e.String()
}

// certifiedDir returns a directory with a certificate for 127.0.0.1 and keys.
func certifiedDir(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	code, _, errors := run("certify", "--directory", directory, "--address", "127.0.0.1", "--key", "k1", "--key", "k2")
	assert.Equal(t, code, exitOK, errors)
	return directory
}

func TestHelp(t *testing.T) {
	for _, verb := range []string{"", "entry", "agent", "check", "status", "compare", "headroom", "call", "call upload", "certify"} {
		code, out, _ := run(append(strings.Fields(verb), "--help")...)
		assert.Equal(t, code, exitOK)
		golden.Assert(t, out, strings.ReplaceAll("help "+verb, " ", "-")+".golden")
	}
	code, _, err := run("serve")
	assert.Equal(t, code, exitUsage)
	assert.Assert(t, strings.Contains(err, "serve"))
}

// Guards against an address that two documents claim: each document is valid by itself and would be
// accepted, and packets of one service would reach the servers of the other. Only a check
// of the files against each other finds it.
func TestCheck(t *testing.T) {
	directory := certifiedDir(t) // agent.ini refers to its files
	assert.NilError(t, os.CopyFS(directory, os.DirFS("testdata/check")))
	want := golden.Get(t, "check.golden")
	t.Chdir(directory)
	code, out, err := run("check", "tracing-core.ini", "agent.ini")
	assert.Equal(t, code, exitOK, out+err)

	code, out, _ = run("check", "tracing-core.ini", "doc-intake.ini", "agent.ini", "wrong.ini", "faulty.ini")
	assert.Equal(t, code, exitFailure)
	assert.Equal(t, out, string(want))

	code, _, err = run("check", "none.ini")
	assert.Equal(t, code, exitUsage)
	assert.Assert(t, strings.Contains(err, "none.ini"))
}

func TestStatus(t *testing.T) {
	s := admin.New(netip.AddrPort{}, zerolog.Nop())
	s.Section("documents", func() any {
		return []struct {
			Name     string `json:"name"`
			Revision int    `json:"revision"`
			From     string `json:"from"`
			Load     struct {
				Busy int `json:"busy"`
			} `json:"load"`
		}{{Name: "tracing-core", Revision: 3, From: "platform"}, {Name: "doc-intake", Revision: 12}}
	})
	s.Section("reasons", func() any { return nil }) // the counters of this process depend on earlier tests
	s.Section("refused", func() any { return map[string]any{"queue": 4, "peers": []string{"e1", "e2"}} })
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")

	code, out, _ := run("status", address)
	assert.Equal(t, code, exitFailure) // no condition is registered yet
	golden.Assert(t, out, "status.golden")

	s.Condition("documents").Set(true, "")
	code, out, _ = run("status", "--json", address)
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, `"ready": true`))

	code, _, err := run("status", address, "nothing")
	assert.Equal(t, code, exitUsage)
	assert.Assert(t, strings.Contains(err, `no section "nothing"; there are [documents reasons refused]`))

	code, _, _ = run("status", "127.0.0.1:1")
	assert.Equal(t, code, exitUsage)
}

// startStatusServer starts the operators' HTTP server of a process that holds one revision of a document.
func startStatusServer(t *testing.T, name string, revision order.Revision, fault string) (address string) {
	t.Helper()
	s := admin.New(netip.AddrPort{}, zerolog.Nop())
	s.Section("process", func() any { return start.Process{Name: name, Role: "entry", Domain: "zg-a", Version: "v1"} })
	s.Section("documents", func() any {
		return []start.Document{{Name: "tracing-core", Revision: revision, Fault: fault, Refused: 9}}
	})
	s.Condition("document").Set(true, "")
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a process that stays on an old revision unnoticed after a document was published: compare must name
// the process.
func TestCompare(t *testing.T) {
	a, b := startStatusServer(t, "e1", 4, ""), startStatusServer(t, "e2", 4, "")
	code, out, _ := run("compare", a, b)
	assert.Equal(t, code, exitOK, out)

	code, out, _ = run("compare", a, b, startStatusServer(t, "e3", 3, "no such key"), "127.0.0.1:1")
	assert.Equal(t, code, exitFailure)
	_, differences, ok := strings.Cut(out, "does not answer\n")
	assert.Assert(t, ok, out)
	assert.Equal(t, differences, "tracing-core: e3 cannot use revision 9\n"+
		"tracing-core: revision 3 at e3\ntracing-core: revision 4 at e1, e2\n")
}

// startRoomServer starts the operators' HTTP server of a process that reports the given room.
func startRoomServer(t *testing.T, r room.Report) (address string) {
	t.Helper()
	s := admin.New(netip.AddrPort{}, zerolog.Nop())
	s.Section("room", func() any { return r })
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// roomOf returns the room of service svc, with a server in each of two failure domains of which only the first has
// reported its service time, and of service new, whose server has reported nothing.
func roomOf(busy int, age int64) room.Report {
	return room.Report{
		Servers: []room.Server{
			{ID: "s1", Agent: "10.0.1.1", Service: "svc", Domain: "zg-a", Open: true, Slots: 2, Known: true, Busy: busy,
				ServiceMillis: 20, WaitMillis: [4]float64{5, 10, 20, 40}, AgeMillis: age},
			{ID: "s2", Agent: "10.0.2.1", Service: "svc", Domain: "zg-b", Open: true, Slots: 2, Known: true, Busy: 1, AgeMillis: 300},
			{ID: "s3", Agent: "10.0.2.2", Service: "new", Domain: "zg-b", Slots: 4},
		},
		Demands: []room.Demand{
			{Service: "svc", Priority: 0, Asked: 60, Opened: 60, Percent: 100},
			{Service: "svc", Priority: 2, Asked: 30, Opened: 15, Percent: 40},
		},
	}
}

// Guards against an operator who takes servers away because the sums count a process that didn't answer, or a server
// whose service time is unknown, as free capacity.
func TestHeadroom(t *testing.T) {
	a, b := startRoomServer(t, roomOf(2, 100)), startRoomServer(t, roomOf(0, 2000))
	code, out, err := run("headroom", a, b)
	assert.Equal(t, code, exitOK, err)
	golden.Assert(t, out, "headroom.golden")

	code, out, err = run("headroom", a, b, "127.0.0.1:1", startStatusServer(t, "e3", 3, ""), "--without", "zg-b")
	assert.Equal(t, code, exitFailure, err)
	_, old, _ := strings.Cut(out, "\n") // the addresses of the test's servers differ from run to run
	_, old, _ = strings.Cut(old, "\n")
	assert.Assert(t, strings.HasPrefix(out, "127.0.0.1:1: does not answer\n"), out)
	golden.Assert(t, old, "headroom-without.golden")

	code, _, err = run("headroom", a, "--without", "zg-x,s1")
	assert.Equal(t, code, exitUsage)
	assert.Assert(t, strings.Contains(err, "no server or failure domain zg-x"), err)
	code, _, _ = run("headroom", "127.0.0.1:1")
	assert.Equal(t, code, exitUsage)
}

func TestCertifyKeepsExistingFiles(t *testing.T) {
	directory := certifiedDir(t)
	before, err := os.ReadFile(filepath.Join(directory, "k1.key"))
	assert.NilError(t, err)
	code, _, _ := run("certify", "--directory", directory, "--address", "127.0.0.1")
	assert.Equal(t, code, exitUsage)
	after, err := os.ReadFile(filepath.Join(directory, "k1.key"))
	assert.NilError(t, err)
	assert.DeepEqual(t, before, after)
}

// startCallServer starts an HTTP/3 server that responds to calls like an agent.
func startCallServer(t *testing.T, directory string) (url string) {
	t.Helper()
	pair, err := tls.LoadX509KeyPair(filepath.Join(directory, certificateFile), filepath.Join(directory, privateFile))
	assert.NilError(t, err)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := http.NewServeMux()
	mux.HandleFunc("/run", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerOutcome, "ran")
		w.Header().Set(headerKey, r.Header.Get(headerKey)+"k")
		_, _ = io.Copy(w, r.Body)
	})
	mux.HandleFunc(keyPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerKey, "first")
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/refuse", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerOutcome, "not-run")
		w.Header().Set(headerReason, "queue")
		w.Header().Set(headerAfter, "3")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	mux.HandleFunc("/cut", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerOutcome, "ran")
		_, _ = w.Write([]byte("half"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	mux.HandleFunc("/silent", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	server := &http3.Server{Handler: mux, TLSConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{pair}})}
	go func() { _ = server.Serve(socket) }() // ends with an error when the socket is closed
	t.Cleanup(func() {
		_ = server.Close()
		socket.Close()
	})
	return "https://" + socket.LocalAddr().String()
}

// The exit code must distinguish requests that ran, did not run, and may have run, since the user decides
// by it whether to repeat the request. Guards also against a truncated response that
// is taken for a complete one.
func TestCall(t *testing.T) {
	directory := certifiedDir(t)
	url := startCallServer(t, directory)
	ca := filepath.Join(directory, certificateFile)

	code, out, err := run("call", "lookup", url+"/run", "--ca", ca, "--body", "hello", "--repeat-key", "a", "--local", "127.0.0.5")
	assert.Equal(t, code, exitOK, err)
	assert.Equal(t, out, "hello")
	assert.Assert(t, strings.Contains(err, "sent-key     a\nfresh-key    ak\n"))

	code, _, err = run("call", "lookup", url+"/run", "--ca", ca, "--fresh-key")
	assert.Equal(t, code, exitOK, err)
	assert.Assert(t, strings.Contains(err, "sent-key     first\n"), err)

	code, out, _ = run("call", "upload", url+"/run", "--insecure", "--file", "-")
	assert.Equal(t, code, exitOK)
	assert.Equal(t, out, "from standard input")

	code, _, err = run("call", "lookup", url+"/refuse", "--ca", ca)
	assert.Equal(t, code, exitFailure)
	assert.Assert(t, strings.Contains(err, "reason       queue\nretry-after  3 s\n"), err)

	code, _, _ = run("call", "feed", url+"/cut", "--ca", ca)
	assert.Equal(t, code, exitUnknown)

	code, _, err = run("call", "lookup", url+"/silent", "--ca", ca)
	assert.Equal(t, code, exitUnknown)
	assert.Assert(t, strings.Contains(err, "outcome      unknown"), err)

	code, _, err = run("call", "lookup", url+"/run") // the certificate is not trusted
	assert.Equal(t, code, exitUsage)
	assert.Assert(t, strings.Contains(err, "outcome      not-run"), err)
}

// Guards against a process that runs in the wrong role because a start script mixed up two settings files. It must
// exit immediately and report the missing section.
func TestRolesRequireTheirSettings(t *testing.T) {
	directory := certifiedDir(t)
	assert.NilError(t, os.CopyFS(directory, os.DirFS("testdata/check")))
	code, _, err := run("entry", "--settings", filepath.Join(directory, "agent.ini"))
	assert.Equal(t, code, exitUsage)
	assert.Assert(t, strings.Contains(err, "[entry]: missing"), err)
	code, _, err = run("agent", "--settings", filepath.Join(directory, "faulty.ini"))
	assert.Equal(t, code, exitUsage)
	assert.Assert(t, strings.Contains(err, "[process]: missing"), err)
}

// The example deployments are used by new users, the demo and the tests, so their files must also be
// consistent with each other.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"zagreb", "rabat"} {
		directory := certifiedDir(t)
		assert.NilError(t, os.Rename(filepath.Join(directory, certificateFile), filepath.Join(directory, "cert.pem")))
		assert.NilError(t, os.Rename(filepath.Join(directory, privateFile), filepath.Join(directory, "cert.key")))
		args := []string{"check"}
		for _, part := range []string{"documents", "settings"} {
			assert.NilError(t, os.CopyFS(directory, os.DirFS(filepath.Join("../../../examples", deployment, part))))
		}
		files, err := filepath.Glob(filepath.Join(directory, "*.ini"))
		assert.NilError(t, err)
		code, out, message := run(append(args, files...)...)
		assert.Equal(t, code, exitOK, out+message)
	}
}

// Guards against a second process with the same settings that runs on without its operators' HTTP server, invisible
// to operators. It must exit before it accepts any traffic.
func TestOperatorAddressIsTaken(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	settings := filepath.Join(certifiedDir(t), "entry.ini")
	text := "[process]\nname = e1\ndomain = a\noperator = " + taken.Addr().String() +
		"\n[platform]\naddress = http://127.0.0.1:1\n[key k1]\nfile = k1.key\n[entry]\nbind = 127.0.0.1\nlink = 127.0.0.1:1\n"
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	code, _, message := run("entry", "--settings", settings)
	assert.Equal(t, code, exitFailure)
	assert.Assert(t, strings.Contains(message, "operators' HTTP"), message)
}
