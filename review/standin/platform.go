//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// readyPath is the path of GET /readyz in deploy/wire.toml.
const readyPath = "/healthz"

// Ports, the same on all machines.
const (
	portStore    = 8169
	portData     = 8172
	portReady    = 8167
	portControl  = 8166
	portOutbound = 8162
	portApp      = 8165
	portFirst    = 7720
	portLast     = 7735
)

// process is a role of the deploy file on a machine.
type process struct {
	name    string
	role    string // as in deploy/system.toml
	ip      netip.Addr
	zone    string
	service string // of the server on the machine
	data    netip.AddrPort
	ready   netip.AddrPort
	rec     *record
	folder  string
	log     *os.File
	command *exec.Cmd
	exited  chan struct{}
}

// deployment is what is started from the deploy file.
type deployment struct {
	root   string // of the repository
	folder string // temporary
	rec    *record
	net    byte // second byte of all addresses
	seeds  []netip.Addr
	zones  map[string]string
	list   []*process
}

func (d *deployment) addr(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.net, byte(group), byte(n)})
}

func (d *deployment) newProcess(role, name string, ip netip.Addr, zone, service string) *process {
	p := &process{
		name: name, role: role, ip: ip, zone: zone, service: service, rec: d.rec, folder: d.folder,
		data: netip.AddrPortFrom(ip, portData), ready: netip.AddrPortFrom(ip, portReady),
	}
	d.list = append(d.list, p)
	return p
}

// settings returns the fields that the platform renders a template from (DEPLOY.md).
func (d *deployment) settings(p *process) map[string]any {
	var seeds []string
	for _, s := range d.seeds {
		seeds = append(seeds, netip.AddrPortFrom(s, portControl).String())
	}
	at := func(port uint16) string { return netip.AddrPortFrom(p.ip, port).String() }
	m := map[string]any{
		"node_id": p.name, "ip": p.ip.String(), "zone": p.zone, "region": "region", "zones": d.zones, "seeds": seeds,
		"listen":     map[string]any{"data_addr": at(portData), "ready_addr": at(portReady), "outbound": at(portOutbound), "control": at(portControl)},
		"port_range": []int{portFirst, portLast},
		"limits":     map[string]any{"link_mbps": "1000.0", "cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100},
		"bounds": map[string]any{
			"stable_window_ms": 4000, "drain_ms": 3000, "grace_s": 6, "config_ms": 3000, "rollback_slack_ms": 250, "flow_ttl_s": 60,
			"reorder_ms": 2000, "recovery_s": 12, "addr_reuse_s": 2,
		},
		"hash": "mod", "deploy_mode": "agent", "heartbeat_ms": heartbeat.Milliseconds(),
		"platform": map[string]any{"addr": netip.AddrPortFrom(d.addr(0, 1), portStore).String()},
	}
	if p.role == "agent" {
		m["app"], m["service"] = at(portApp), p.service
	}
	return m
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/[a-z_.0-9]+\}\}`)
	fieldPattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in a template: plain fields, and sections that are there if a field has a value.
func render(template string, fields map[string]any) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		if lookUp(fields, m[1]) == "" {
			return ""
		}
		return m[2]
	})
	return fieldPattern.ReplaceAllStringFunc(template, func(s string) string { return lookUp(fields, s[2:len(s)-2]) })
}

// lookUp returns the text of a field such as listen.data_addr or port_range.0.
func lookUp(fields map[string]any, path string) string {
	var v any = fields
	for _, part := range strings.Split(path, ".") {
		switch x := v.(type) {
		case map[string]any:
			v = x[part]
		case []int:
			i, _ := strconv.Atoi(part)
			v = x[i]
		default:
			return ""
		}
	}
	switch x := v.(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(x, ",")
	case map[string]any:
		text, _ := json.Marshal(x)
		return string(text)
	default:
		return fmt.Sprint(x)
	}
}

// start starts the process with the command and the template of the deploy file.
func (d *deployment) start(p *process) error {
	command, template, err := d.role(p.role)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(d.root, template))
	if err != nil {
		return err
	}
	settings := filepath.Join(d.folder, p.name+".local.yaml")
	if err := os.WriteFile(settings, []byte(render(string(text), d.settings(p))), 0o600); err != nil {
		return err
	}
	if p.log == nil {
		if p.log, err = os.Create(filepath.Join(d.folder, p.name+".log")); err != nil {
			return err
		}
	}
	words := strings.Fields(command)
	p.command = exec.Command(filepath.Join(d.root, words[0]), words[1:]...)
	p.command.Dir = d.root
	p.command.Env = []string{"MANGOWINCH_BOOT=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.folder}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait() // how it ended is in the record
		close(exited)
	}(p.command, p.exited)
	d.rec.line("platform: %s starts, process %d", p.name, p.command.Process.Pid)
	return nil
}

// role reads a role's command and template from deploy/system.toml.
func (d *deployment) role(name string) (run, template string, err error) {
	text, err := os.ReadFile(filepath.Join(d.root, "deploy", "system.toml"))
	if err != nil {
		return "", "", err
	}
	in := false
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "[") {
			in = line == "[roles."+name+"]"
		}
		key, value, _ := strings.Cut(line, " = ")
		switch {
		case in && key == "run":
			run = strings.Trim(value, `"`)
		case in && key == "template":
			template = strings.Trim(value, `"`)
		}
	}
	if run == "" || template == "" {
		return "", "", fmt.Errorf("no role %s in the deploy file", name)
	}
	return run, template, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.rec.line("platform: %s gets %s", p.name, s)
	_ = p.command.Process.Signal(s) // it may have ended
}

func (p *process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// close ends all processes that were started.
func (d *deployment) close() {
	for _, p := range d.list {
		if p.running() {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
		}
	}
	for _, p := range d.list {
		if p.command == nil {
			continue
		}
		select {
		case <-p.exited:
		case <-time.After(5 * time.Second):
		}
		p.log.Close()
	}
}
