package fleet

import (
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Process is one process of a fleet. It can be stopped and started again.
type Process struct {
	Name     string
	Operator netip.AddrPort // serves /healthz, and takes commands if the process is a stand-in

	program   string
	arguments []string
	logFile   string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	status  error
}

// Start starts the process and appends its output to its log.
func (p *Process) Start() (err error) {
	defer func() { err = errors.Wrapf(err, "start %s", p.Name) }()
	if err := os.MkdirAll(filepath.Dir(p.logFile), 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(p.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(p.program, p.arguments...)
	command.Stdout, command.Stderr = log, log
	// If the launcher is killed, the kernel kills its children too. Their own process group
	// keeps an interrupt from the terminal away from them.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mutex.Lock()
	p.command, p.ended = command, ended
	p.mutex.Unlock()
	go func() {
		err := command.Wait()
		p.mutex.Lock()
		p.status = err
		p.mutex.Unlock()
		close(ended)
	}()
	return nil
}

// ID returns the process ID, 0 before the first start.
func (p *Process) ID() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Ended returns a channel that is closed once the process has ended or if it was never started.
func (p *Process) Ended() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ended == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return p.ended
}

// Status returns nil if the process ended with exit code 0. It is valid only after the process
// has ended.
func (p *Process) Status() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.status
}

// Kill sends SIGKILL to the process and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.Ended()
}

// Freeze pauses the process with SIGSTOP until Resume is called.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Resume continues a frozen process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Stop requests a graceful shutdown with SIGTERM. It does not wait for the end; see Ended.
func (p *Process) Stop() { p.signal(syscall.SIGTERM) }

func (p *Process) signal(s syscall.Signal) {
	p.mutex.Lock()
	command := p.command
	p.mutex.Unlock()
	if command == nil {
		return
	}
	// The only error is that the process has already ended, and then the signal has no effect.
	_ = command.Process.Signal(s)
}

// lastLine returns the last line of the process's log.
func (p *Process) lastLine() string {
	text, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

func itoa(n int) string { return strconv.Itoa(n) }
