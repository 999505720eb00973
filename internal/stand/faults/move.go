package faults

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/prefs"
	"mangowinch/internal/stand/check"
)

// move says that an instance was given from one service to another.
type move struct {
	from, to check.Execution // service and server before and after
	at       time.Time
}

// relabel gives what ran at the moved instance since then to its new service.
func (m *move) relabel(executions []check.Execution) {
	if m == nil {
		return
	}
	for i := range executions {
		e := &executions[i]
		if e.Service == m.from.Service && e.Server == m.from.Server && e.At.After(m.at) {
			e.Service, e.Server = m.to.Service, m.to.Server
		}
	}
}

// addressMoves gives the instance of a server of one service, with its addresses,
// to another service, while an entry is frozen. The entry wakes and goes on
// sending the first service's packets to the address, as its old document says.
func addressMoves(r *run) error {
	agents := r.fleet.Agents(r.largest())
	a := agents[len(agents)-1]
	r.hits(a)
	entry := r.fleet.Process(r.entry().Process.Name)
	entry.Freeze()
	r.fleet.Process(a.Process.Name).Kill()
	r.fleet.Process(a.Process.Name + "-server").Kill()
	if err := r.give(a, r.smallest()); err != nil {
		return err
	}
	if err := r.restart(a.Process.Name + "-server"); err != nil {
		return err
	}
	if err := r.restart(a.Process.Name); err != nil {
		return err
	}
	entry.Resume()
	r.wait(3 * time.Second)
	return nil
}

func (r *run) smallest() string {
	for _, s := range r.fleet.Services {
		if s.Name != r.largest() {
			return s.Name
		}
	}
	return r.largest()
}

// give rewrites both documents and the agent's settings.
func (r *run) give(a *prefs.Settings, to string) error {
	server, ok := r.fleet.Server(a.Agent.Service, a.Agent.Server)
	if !ok {
		return errors.Newf("no server %s", a.Agent.Server)
	}
	next := fmt.Sprintf("s%d", len(r.fleet.Service(to).Servers)+1)
	r.moved = &move{
		from: check.Execution{Service: a.Agent.Service, Server: a.Agent.Server},
		to:   check.Execution{Service: to, Server: next},
		at:   time.Now(),
	}
	if err := r.edit(a.Agent.Service+".ini", func(text string) string { return withoutServer(text, a.Agent.Server) }); err != nil {
		return err
	}
	section := fmt.Sprintf("\n[server %s]\nid = %d\nagent = %s\ndomain = %s\nslots = %d\nconnections = %d\n",
		next, len(r.fleet.Service(to).Servers)+1, server.Agent, server.Domain, server.Slots, server.Connections)
	if err := r.edit(to+".ini", func(text string) string { return text + section }); err != nil {
		return err
	}
	path := filepath.Join(r.fleet.Directory, "settings", a.Process.Name+".ini")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	changed := strings.NewReplacer(
		"service = "+a.Agent.Service+"\n", "service = "+to+"\n",
		"server = "+a.Agent.Server+"\n", "server = "+next+"\n",
	).Replace(string(text))
	return os.WriteFile(path, []byte(changed), 0o600)
}

// withoutServer cuts a server's section out of a document.
func withoutServer(text, name string) string {
	before, rest, found := strings.Cut(text, "[server "+name+"]\n")
	if !found {
		return text
	}
	_, after, _ := strings.Cut(rest, "\n\n")
	return before + after
}
