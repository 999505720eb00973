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

// move records that an instance was reassigned from one service to another.
type move struct {
	from, to check.Execution // service and server before and after the move
	at       time.Time
}

// relabel attributes the requests that ran at the instance after the move to its new service.
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

// addressMoves reassigns the instance of a server, with its addresses, to another service
// while an entry is frozen. When the entry resumes, it still has the old document and keeps
// sending packets of the first service to the instance.
func addressMoves(r *run) error {
	agents := r.fleet.Agents(r.largestService())
	a := agents[len(agents)-1]
	r.markAffected(a)
	entry := r.fleet.Process(r.randomEntry().Process.Name)
	entry.Freeze()
	r.fleet.Process(a.Process.Name).Kill()
	r.fleet.Process(a.Process.Name + "-server").Kill()
	if err := r.reassign(a, r.otherService()); err != nil {
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

func (r *run) otherService() string {
	for _, s := range r.fleet.Services {
		if s.Name != r.largestService() {
			return s.Name
		}
	}
	return r.largestService()
}

// reassign moves an agent's server to another service in both documents and in the agent's settings.
func (r *run) reassign(a *prefs.Settings, to string) error {
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

// withoutServer removes the section of a server from a document.
func withoutServer(text, name string) string {
	before, rest, found := strings.Cut(text, "[server "+name+"]\n")
	if !found {
		return text
	}
	_, after, _ := strings.Cut(rest, "\n\n")
	return before + after
}
