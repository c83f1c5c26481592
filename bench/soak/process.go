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

// restartPause is the time between the end of a process and its next start.
const restartPause = 300 * time.Millisecond

// process keeps a real process running under one settings file: it starts again whenever it ends.
type process struct {
	name, binary, role, settings string
	log                          *os.File

	mu      sync.Mutex
	command *exec.Cmd
	// expected says that the next end was caused from outside.
	expected bool
	closing  bool
	// unasked counts the ends that nothing from outside caused.
	unasked int
	ended   chan struct{}
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
	p := &process{name: s.Host, binary: binary, role: s.Role, settings: settings, log: log, ended: make(chan struct{})}
	if err := p.start(); err != nil {
		return nil, err
	}
	go p.keep()
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
	p.command, p.expected = command, false
	return nil
}

// keep starts the process again until close.
func (p *process) keep() {
	defer close(p.ended)
	for {
		_ = p.command.Wait()
		p.mu.Lock()
		closing := p.closing
		if !closing && !p.expected {
			p.unasked++
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

// signal sends a signal to the process that runs now; one that has just ended misses it.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = p.expected || signal == syscall.SIGKILL || signal == syscall.SIGTERM
	_ = p.command.Process.Signal(signal)
}

// close kills the process and waits for its end. It returns how often the process had ended by itself.
func (p *process) close() int {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	for {
		select {
		case <-p.ended:
			_ = p.log.Close()
			return p.unasked
		case <-time.After(restartPause):
			// It may have been between two starts.
			p.signal(syscall.SIGKILL)
		}
	}
}
