// Command review3 runs the cases of the third review that can't be put as a day of the bench. Each case starts the programs of the
// project as separate processes, on loopback addresses and the real clock, between small stand-ins of the users' platform.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is the surroundings of one run of a case.
type world struct {
	dir     string
	program string
	trouble bool
	started time.Time

	mu     sync.Mutex
	record *os.File

	procs []*process
	store *store
	// peerPort is the first of the ports between processes, the same on all machines.
	peerPort int
}

// process is a process of the project that the case started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	name string
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = w.record.WriteString(line)
}

// giveUp ends a case that could not run.
func (w *world) giveUp(format string, args ...any) {
	w.logf("could not run: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	w.close()
	os.Exit(exitNotRun)
}

// listenOn listens on a free port of an address.
func (w *world) listenOn(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		w.giveUp("listen on %s: %v", ip, err)
	}
	return l
}

// serve serves a handler on a free port of an address and returns host and port.
func (w *world) serve(ip string, h http.Handler) string {
	l := w.listenOn(ip)
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// freePorts returns the first of n neighboring ports that are free for TCP and UDP on an address.
func (w *world) freePorts(ip string, n int) int {
	for base := 21000 + (os.Getpid()*37)%9000; base < 60000; base += n {
		free := true
		for port := base; port < base+n && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = u.Close()
		}
		if free {
			return base
		}
	}
	w.giveUp("no free ports on %s", ip)
	return 0
}

// host describes a machine of the small deployment.
type host struct {
	name, class, ip, zone string
	front, ready          string
	app, service          string
	internal              int
	// store is the address of the store in the settings of this machine, empty for the usual one.
	store string
}

const zones = "zones.centro-a=ar-centro\nzones.norte-a=ar-norte\nzones.sur-a=ar-sur\n"

// settings returns the settings file of a machine, like those on the pages.
func (w *world) settings(h host) string {
	storeAddress := w.store.address
	if h.store != "" {
		storeAddress = h.store
	}
	region := map[string]string{"centro-a": "ar-centro", "norte-a": "ar-norte", "sur-a": "ar-sur"}[h.zone]
	lines := []string{
		"node_name=" + h.name, "role=my-" + h.class, "machine_class=" + h.class, "ip_address=" + h.ip, "zone=" + h.zone, "region=" + region,
		fmt.Sprintf("internal_ports=%d,%d", h.internal, h.internal+15), "bootstrap=true", "count_toward_tolerance=false",
		"limits.cpu_share=0.48", "limits.cores=1", "limits.memory_mb=206", "limits.file_descriptors=2870", "limits.link_mbps=700.0",
		"limits.disk_mb=0", "discovery=platform", "entry=virtual_ip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,chunks",
		"bounds.stable_window_ms=3000", "bounds.acknowledge_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=8",
		"bounds.loss_slack_ms=200", "bounds.configuration_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.outer_bound_ms=5000",
		"bounds.enforce_revocation=true", "bounds.revoke_ms=5000", "bounds.budget_ratio=0.2", "bounds.budget_window_s=10",
		"bounds.retry_slack=212", "bounds.cold_factor=1.5", "bounds.cold_slack=5", "bounds.evacuate_ms=5000", "bounds.recovery_s=12",
		"bounds.pass_ms=120", "bounds.version_ms=8000", "platform.address=" + storeAddress, "platform.form=objects",
		"platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576",
	}
	if h.front != "" {
		lines = append(lines, "serves=front", "listen.front="+h.front, "listen.ready="+h.ready)
	}
	if h.app != "" {
		lines = append(lines, "serves=side", "app="+h.app, "service="+h.service)
	}
	return strings.Join(lines, "\n") + "\n" + zones
}

// start starts a role of the deploy file on a machine.
func (w *world) start(h host, role string) *process {
	path := filepath.Join(w.dir, h.name+".conf")
	if err := os.WriteFile(path, []byte(w.settings(h)), 0o600); err != nil {
		w.giveUp("write settings: %v", err)
	}
	log, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.giveUp("open log: %v", err)
	}
	cmd := exec.Command(w.program, "hosted", role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GUAVATRESTLE_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one, however it ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		w.giveUp("start %s: %v", role, err)
	}
	p := &process{cmd: cmd, done: make(chan struct{}), name: h.name}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	w.procs = append(w.procs, p)
	w.logf("%s starts: hosted %s", h.name, role)
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills a process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (w *world) close() {
	for _, p := range w.procs {
		select {
		case <-p.done:
			continue
		default:
		}
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// awaitReady waits until an entry process says that it is ready.
func (w *world) awaitReady(address string) {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + address + "/readiness")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			w.logf("%s is ready", address)
			return
		}
	}
	w.giveUp("%s does not become ready", address)
}
