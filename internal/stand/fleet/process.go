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

// Process is one process of a fleet. It may be ended and started again.
type Process struct {
	Name     string
	Operator netip.AddrPort // where it answers /healthz, or its faults are set

	program   string
	arguments []string
	logFile   string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	status  error
}

// Start starts the process. Its output is added to its log.
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
	// The launcher may be killed; its children must not be left behind, and an
	// interrupt from the terminal is for the launcher alone.
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

// Ended returns a channel that is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ended == nil {
		never := make(chan struct{})
		close(never)
		return never
	}
	return p.ended
}

// Status returns nil if the process, which has ended, ended with exit code 0.
func (p *Process) Status() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.status
}

// Kill ends the process as kill -9 does and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.Ended()
}

// Freeze stops the process as SIGSTOP does; Wake lets it run on.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Resume ends a freeze.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Stop asks the process to stop as SIGTERM does; see Ended.
func (p *Process) Stop() { p.signal(syscall.SIGTERM) }

func (p *Process) signal(s syscall.Signal) {
	p.mutex.Lock()
	command := p.command
	p.mutex.Unlock()
	if command == nil {
		return
	}
	// The one error is that the process has ended already, which is what a signal
	// to it would find as well.
	_ = command.Process.Signal(s)
}

// lastLine returns the last line of the process's output.
func (p *Process) lastLine() string {
	text, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

func itoa(n int) string { return strconv.Itoa(n) }
