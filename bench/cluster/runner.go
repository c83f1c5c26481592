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

// command is a guavatrestled process of its own.
type command struct {
	cmd *exec.Cmd
}

func (c command) signal(signal syscall.Signal) error { return c.cmd.Process.Signal(signal) }
func (c command) pid() int                           { return c.cmd.Process.Pid }
func (c command) wait() error                        { return c.cmd.Wait() }

// inside is a guavatrestled daemon that runs in this process.
type inside struct {
	cancel context.CancelFunc
	result chan error
}

// signal ends the daemon on SIGTERM; other signals have no effect.
func (i inside) signal(signal syscall.Signal) error {
	if signal == syscall.SIGTERM {
		i.cancel()
	}
	return nil
}

func (i inside) pid() int    { return 0 }
func (i inside) wait() error { return <-i.result }

// run starts guavatrestled with the configuration at path, as a process of its own or inside this one.
func (c *Cluster) run(path string, log *os.File) (runner, error) {
	if c.InProcess {
		// Reading the file applies the product's defaults and checks, as in a process of its own.
		read, err := config.Load(path)
		if err != nil {
			return nil, eris.Wrap(err, "read configuration")
		}
		return runInside(read, log), nil
	}
	cmd := exec.Command(c.binary, "--config", path)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrap(err, "start guavatrestled")
	}
	return command{cmd: cmd}, nil
}

func runInside(cfg config.Config, log *os.File) runner {
	ctx, cancel := context.WithCancel(context.Background())
	logger := logrus.New()
	logger.SetOutput(log)
	logger.SetFormatter(&logrus.JSONFormatter{})
	i := inside{cancel: cancel, result: make(chan error, 1)}
	go func() { i.result <- daemon.Run(ctx, cfg, logrus.NewEntry(logger)) }()
	return i
}

// StartCommand starts another program that listens on the address that follows its last argument, and waits until it does.
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
	p := c.adopt(&Process{
		Host:   core.Host{ID: id, DataAddr: addr},
		run:    command{cmd: cmd},
		log:    log,
		client: http.DefaultClient,
		scheme: "http",
	})
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err = WaitFor(ctx, func() bool { return listens(ctx, addr) })
	return p, eris.Wrapf(err, "%s does not listen on %s", program, addr)
}

func listens(ctx context.Context, addr string) bool {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
