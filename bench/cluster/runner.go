package cluster

import (
	"context"
	"os"
	"os/exec"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/state/config"
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
func (c *Cluster) run(path string, cfg config.Config, log *os.File) (runner, error) {
	if c.InProcess {
		return runInside(cfg, log), nil
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
