package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/platform/platformtest"
)

// restartPause is the pause between the exit of a process and its restart.
const restartPause = 300 * time.Millisecond

// process supervises an operating system process with one settings file and restarts it whenever it exits.
type process struct {
	name, binary, role, settings string
	log                          *os.File

	mu      sync.Mutex
	command *exec.Cmd
	// exitExpected is true if a signal of the run causes the next exit.
	exitExpected bool
	closing      bool
	// unexpectedExits counts the exits that no signal of the run caused.
	unexpectedExits int
	done            chan struct{}
}

// startProcess writes the settings and starts the program.
func startProcess(dir, binary string, s platformtest.Settings) (*process, error) {
	settings := filepath.Join(dir, s.Host+".conf")
	if err := os.WriteFile(settings, []byte(s.File()), 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings")
	}
	log, err := os.Create(filepath.Join(dir, s.Host+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "create log")
	}
	p := &process{name: s.Host, binary: binary, role: s.Role, settings: settings, log: log, done: make(chan struct{})}
	if err := p.start(); err != nil {
		return nil, err
	}
	go p.superviseRestarts()
	return p, nil
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.binary, "hosted", p.role)
	command.Env = append(os.Environ(), platformtest.SettingsEnv(p.settings))
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.name)
	}
	p.command, p.exitExpected = command, false
	return nil
}

// superviseRestarts restarts the process after each exit until close.
func (p *process) superviseRestarts() {
	defer close(p.done)
	for {
		_ = p.command.Wait()
		p.mu.Lock()
		closing := p.closing
		if !closing && !p.exitExpected {
			p.unexpectedExits++
		}
		p.mu.Unlock()
		if closing {
			return
		}
		time.Sleep(restartPause)
		if p.start() != nil {
			return
		}
	}
}

// signal sends a signal to the current process; the signal is lost if the process has just exited.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || signal == syscall.SIGKILL || signal == syscall.SIGTERM
	_ = p.command.Process.Signal(signal)
}

// close kills the process and waits for its exit. It returns the number of unexpected exits.
func (p *process) close() int {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	for {
		select {
		case <-p.done:
			_ = p.log.Close()
			return p.unexpectedExits
		case <-time.After(restartPause):
			// The signal is lost if it was sent between an exit and a restart.
			p.signal(syscall.SIGKILL)
		}
	}
}
