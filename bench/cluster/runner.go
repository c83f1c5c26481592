package cluster

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/transport/daemon"
)

// childProcess is a separate operating system process.
type childProcess struct {
	cmd *exec.Cmd
}

func (c childProcess) signal(signal syscall.Signal) error { return c.cmd.Process.Signal(signal) }
func (c childProcess) pid() int                           { return c.cmd.Process.Pid }
func (c childProcess) wait() error                        { return c.cmd.Wait() }

// inProcess is a guavatrestled daemon that runs inside the current process.
type inProcess struct {
	cancel context.CancelFunc
	result chan error
}

// signal stops the daemon on SIGTERM; other signals have no effect.
func (i inProcess) signal(signal syscall.Signal) error {
	if signal == syscall.SIGTERM {
		i.cancel()
	}
	return nil
}

func (i inProcess) pid() int    { return 0 }
func (i inProcess) wait() error { return <-i.result }

// startRunner starts guavatrestled with the configuration at path, as a separate process or inside the current one.
func (c *Cluster) startRunner(path string, log *os.File) (runner, error) {
	if c.InProcess {
		// Loading the file applies the same defaults and validation as in a separate process.
		cfg, err := config.Load(path)
		if err != nil {
			return nil, eris.Wrap(err, "read configuration")
		}
		return runInProcess(cfg, log), nil
	}
	cmd := exec.Command(c.binary, "--config", path)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrap(err, "start guavatrestled")
	}
	return childProcess{cmd: cmd}, nil
}

func runInProcess(cfg config.Config, log *os.File) runner {
	ctx, cancel := context.WithCancel(context.Background())
	logger := logrus.New()
	logger.SetOutput(log)
	logger.SetFormatter(&logrus.JSONFormatter{})
	i := inProcess{cancel: cancel, result: make(chan error, 1)}
	go func() { i.result <- daemon.Run(ctx, cfg, logrus.NewEntry(logger)) }()
	return i
}

// StartCommand starts another program with a free listen address as its last argument and waits until it listens there.
func (c *Cluster) StartCommand(ctx context.Context, id core.HostID, program string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(c.dir, string(id)+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "create log file")
	}
	addr := freeAddr()
	cmd := exec.Command(program, append(args, addr)...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", program)
	}
	p := c.track(&Process{
		Host:   core.Host{ID: id, DataAddr: addr},
		runner: childProcess{cmd: cmd},
		log:    log,
		client: http.DefaultClient,
		scheme: "http",
	})
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err = WaitFor(ctx, func() bool { return isListening(ctx, addr) })
	return p, eris.Wrapf(err, "%s did not start to listen on %s", program, addr)
}

func isListening(ctx context.Context, addr string) bool {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
