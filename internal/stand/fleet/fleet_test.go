package fleet

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// preparedFleet returns a fleet whose processes are added but not started.
func preparedFleet(t *testing.T, deployment string) *Fleet {
	t.Helper()
	b, err := claimBlock()
	assert.NilError(t, err)
	f := &Fleet{
		settings:  Settings{Deployment: "../../../examples/" + deployment, Binaries: "out"},
		Directory: t.TempDir(),
		block:     b,
		processes: map[string]*Process{},
	}
	t.Cleanup(f.Close)
	assert.NilError(t, f.prepare())
	f.addProcesses()
	return f
}

// Checks that the examples have the deployment sizes that the system is designed for.
func TestExamplesHaveDesignSizes(t *testing.T) {
	type size struct{ servers, slots, domains int }
	want := map[string]map[string]size{
		"zagreb": {"tracing-core": {7, 4, 3}, "doc-intake": {3, 4, 3}},
		"rabat":  {"dossier-desk": {7, 5, 4}, "pieces-depot": {4, 5, 4}},
	}
	for deployment, services := range want {
		f := preparedFleet(t, deployment)
		assert.Equal(t, len(f.Services), len(services))
		for name, size := range services {
			s := f.Service(name)
			assert.Equal(t, len(s.Servers), size.servers)
			domains := map[string]bool{}
			for _, server := range s.Servers {
				assert.Equal(t, server.Slots, size.slots)
				assert.Equal(t, server.Connections, 2000)
				domains[server.Domain] = true
			}
			assert.Equal(t, len(domains), size.domains)
			assert.Equal(t, len(f.Agents(name)), size.servers)
		}
	}
}

// Guards against settings that contradict the service documents, since both are written
// separately: an agent that listens on another address than its document states gets no packets.
func TestExampleSettingsAgreeWithDocuments(t *testing.T) {
	for _, deployment := range []string{"zagreb", "rabat"} {
		f := preparedFleet(t, deployment)
		used := map[netip.AddrPort]string{}
		for _, n := range f.Nodes {
			other, taken := used[n.Process.Operator]
			assert.Assert(t, !taken, "%s and %s", n.Process.Name, other)
			used[n.Process.Operator] = n.Process.Name
			if n.Agent == nil {
				continue
			}
			server, ok := f.Server(n.Agent.Service, n.Agent.Server)
			assert.Assert(t, ok, n.Process.Name)
			assert.Equal(t, n.Agent.Listen, server.Agent)
			assert.Equal(t, n.Process.Domain, server.Domain)
		}
		ports := map[uint16]bool{}
		for _, s := range f.Services {
			assert.Assert(t, !ports[s.Address.Port()], "an entry has one address for all services")
			ports[s.Address.Port()] = true
		}
	}
}

func TestFleetsGetBlocksOfTheirOwn(t *testing.T) {
	one, other := preparedFleet(t, "zagreb"), preparedFleet(t, "zagreb")
	assert.Assert(t, one.block.octet != other.block.octet)
	assert.Assert(t, one.Service("tracing-core").Address != other.Service("tracing-core").Address)
}
