// Package fleet starts a deployment on loopback as separate processes, together with
// stand-ins for the platform, the fabric and the backend servers. Tests can kill, freeze
// and restart each process.
//
// It is scaffolding for the demo, the fault runs and benchmarks, and not part of the
// system: a mangowinch process never starts another.
//
// A deployment is a directory as in examples/: documents that the platform serves, and
// one settings file per process. A fleet runs a copy of it, with its own certificate and
// keys. Several fleets may run at the same time: each claims a block of loopback addresses
// and rewrites the addresses in its copy.
//
// # Usage
//
//	f, err := fleet.Start(ctx, fleet.Settings{Deployment: "examples/zagreb", Binaries: "out"})
//	if err != nil {
//		return err
//	}
//	defer f.Close()
//	f.Process("e1").Kill()
package fleet

import (
	"context"
	"crypto/x509"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/prefs"
)

const (
	readyTimeout      = 30 * time.Second // a process that is not ready by then counts as failed
	readyPollInterval = 20 * time.Millisecond
	adminPort         = 8501 // of the stand-ins for the platform and the fabric
)

// Settings configure a fleet.
type Settings struct {
	Deployment string // directory with documents/ and settings/
	Binaries   string // directory of the executables mangowinch and standin
	Directory  string // for the copy, keys and logs; a temporary directory if empty
}

// Fleet is a running deployment.
type Fleet struct {
	Directory string
	Services  []*docs.Service
	Roots     *x509.CertPool // trusts the certificate of the agents
	Nodes     []*prefs.Settings

	settings   Settings
	block      *block
	temporary  bool
	processes  map[string]*Process
	startOrder []string // process names in the order of starting
}

// Start starts every process of a deployment and returns once all are ready.
func Start(ctx context.Context, s Settings) (f *Fleet, err error) {
	defer func() { err = errors.Wrap(err, "start fleet") }()
	f = &Fleet{settings: s, Directory: s.Directory, processes: map[string]*Process{}}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) (err error) {
	if f.Directory == "" {
		f.temporary = true
		if f.Directory, err = os.MkdirTemp("", "mangowinch-"); err != nil {
			return err
		}
	}
	if f.block, err = claimBlock(); err != nil {
		return err
	}
	if err := f.prepare(); err != nil {
		return err
	}
	f.addProcesses()
	for _, name := range f.startOrder {
		if err := f.processes[name].Start(); err != nil {
			return err
		}
	}
	return f.AwaitReady(ctx, f.startOrder...)
}

// prepare copies the deployment, creates its keys, and reads the copied documents and settings.
func (f *Fleet) prepare() error {
	if err := copyDeployment(f.settings.Deployment, f.Directory, f.block); err != nil {
		return err
	}
	var err error
	if f.Services, err = readDocuments(f.DocumentsDirectory()); err != nil {
		return err
	}
	if f.Roots, err = makeKeys(f.settingsDirectory(), f.Services); err != nil {
		return err
	}
	f.Nodes, err = readSettings(f.settingsDirectory())
	return err
}

// addProcesses adds the stand-ins and the nodes in the order in which they are started.
func (f *Fleet) addProcesses() {
	standin := filepath.Join(f.settings.Binaries, "standin")
	program := filepath.Join(f.settings.Binaries, "mangowinch")
	platform := netip.MustParseAddrPort(f.Nodes[0].Platform.Address.Host)
	fabricAdmin := netip.AddrPortFrom(platform.Addr().Next(), adminPort)
	platformAdmin := netip.AddrPortFrom(platform.Addr(), adminPort)

	f.add("platform", platformAdmin, standin, "platform", f.DocumentsDirectory(),
		"--address", platform.String(), "--admin", platformAdmin.String())
	arguments := []string{"fabric", "--admin", fabricAdmin.String()}
	for _, s := range f.Services {
		arguments = append(arguments, "--service", s.Address.String())
	}
	for _, n := range f.Nodes {
		if n.Entry != nil {
			arguments = append(arguments, "--entry", n.Entry.Bind.String())
		}
	}
	f.add("fabric", fabricAdmin, standin, arguments...)
	for _, n := range f.Nodes {
		if n.Agent != nil {
			f.add(n.Process.Name+"-server", netip.MustParseAddrPort(n.Agent.Backend.Host),
				standin, f.serverArguments(n)...)
		}
	}
	for _, n := range f.Nodes {
		role := "entry"
		if n.Agent != nil {
			role = "agent"
		}
		file := filepath.Join(f.settingsDirectory(), n.Process.Name+".ini")
		f.add(n.Process.Name, n.Process.Operator, program, role, "--settings", file)
	}
}

func (f *Fleet) serverArguments(n *prefs.Settings) []string {
	arguments := []string{"server", "--address", n.Agent.Backend.Host, "--cold", "0s",
		"--journal", f.journalFile(n.Process.Name)}
	server, ok := f.Server(n.Agent.Service, n.Agent.Server)
	if !ok {
		return arguments
	}
	return append(arguments, "--slots", itoa(server.Slots), "--connections", itoa(server.Connections))
}

func (f *Fleet) add(name string, operator netip.AddrPort, program string, arguments ...string) {
	f.startOrder = append(f.startOrder, name)
	f.processes[name] = &Process{
		Name:      name,
		Operator:  operator,
		program:   program,
		arguments: arguments,
		logFile:   filepath.Join(f.Directory, "logs", name+".log"),
	}
}

// DocumentsDirectory returns the directory that the platform serves, where tests change documents.
func (f *Fleet) DocumentsDirectory() string { return filepath.Join(f.Directory, "documents") }

func (f *Fleet) settingsDirectory() string { return filepath.Join(f.Directory, "settings") }

// Process returns a process by name: platform, fabric, the name of a node, or
// that of an agent with -server. It panics if there is none.
func (f *Fleet) Process(name string) *Process {
	p := f.processes[name]
	if p == nil {
		panic("no process " + name)
	}
	return p
}

// Names returns the names of all processes in the order of starting.
func (f *Fleet) Names() []string { return slices.Clone(f.startOrder) }

// Service returns a document by name. It panics if there is none.
func (f *Fleet) Service(name string) *docs.Service {
	for _, s := range f.Services {
		if s.Name == name {
			return s
		}
	}
	panic("no service " + name)
}

// Server returns a server of a service.
func (f *Fleet) Server(service, name string) (server docs.Server, ok bool) {
	for _, s := range f.Service(service).Servers {
		if s.Name == name {
			return s, true
		}
	}
	return docs.Server{}, false
}

// Entries returns the nodes of role entry.
func (f *Fleet) Entries() []*prefs.Settings {
	return f.nodes(func(n *prefs.Settings) bool { return n.Entry != nil })
}

// Agents returns the agents of a service.
func (f *Fleet) Agents(service string) []*prefs.Settings {
	return f.nodes(func(n *prefs.Settings) bool { return n.Agent != nil && n.Agent.Service == service })
}

func (f *Fleet) nodes(wanted func(*prefs.Settings) bool) (nodes []*prefs.Settings) {
	for _, n := range f.Nodes {
		if wanted(n) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// AwaitReady waits until each named process answers GET /healthz with 200.
func (f *Fleet) AwaitReady(ctx context.Context, names ...string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, name := range names {
		p := f.Process(name)
		for !p.ready(ctx) {
			select {
			case <-p.Ended():
				return errors.Newf("%s exited before it was ready: %s", name, p.lastLine())
			case <-ctx.Done():
				return errors.Newf("%s is not ready after %s; last log line: %s", name, readyTimeout, p.lastLine())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return f.checkRunning(names)
}

// checkRunning returns an error if a named process has exited. This happens when its address
// is in use: the process exits, and the other process on the address answers /healthz.
func (f *Fleet) checkRunning(names []string) error {
	for _, name := range names {
		p := f.Process(name)
		select {
		case <-p.Ended():
			return errors.Newf("%s exited, but its address answers; last log line: %s", name, p.lastLine())
		default:
		}
	}
	return nil
}

func (p *Process) ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Operator.String()+"/healthz", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// Close kills every process and removes the temporary directory.
func (f *Fleet) Close() {
	for _, name := range slices.Backward(f.startOrder) {
		f.processes[name].Kill()
	}
	if f.block != nil {
		f.block.release()
	}
	if f.temporary {
		_ = os.RemoveAll(f.Directory) // files left in the temporary directory are harmless
	}
}
