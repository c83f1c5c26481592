package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{file: file, start: time.Now()}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// check ends the program with the status of a case that could not run.
func check(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

func cannotRun(format string, args ...any) {
	fmt.Printf("the case could not run: "+format+"\n", args...)
	stopAll()
	os.Exit(2)
}

// Loopback addresses of one run: all processes of the system use the same ports, as on the platform.
type addresses struct {
	net                              string
	front, ready, app, peers, shared int
}

func newAddresses() addresses {
	for range 50 {
		base := 20000 + rand.IntN(11000)
		a := addresses{
			net:   fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250)),
			front: base, ready: base + 1, app: base + 2, shared: base + 3, peers: base + 10,
		}
		if a.free() {
			return a
		}
	}
	cannotRun("no free ports")
	return addresses{}
}

func (a addresses) free() bool {
	for _, port := range []int{a.front, a.ready, a.app, a.shared, a.peers, a.peers + 2} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", a.net, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func (a addresses) at(host, port int) string { return fmt.Sprintf("%s.%d:%d", a.net, host, port) }

// serve starts a stand-in and returns its server.
func serve(address string, handler http.Handler) *http.Server {
	listener, err := net.Listen("tcp", address)
	check(err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server
}

var (
	startedMu sync.Mutex
	started   []*exec.Cmd
)

// startProcess starts a program of the system with the command of the deploy file.
func startProcess(dir, name, role, settings string) *exec.Cmd {
	path := filepath.Join(dir, name+".conf")
	check(os.WriteFile(path, []byte(settings), 0o600))
	output, err := os.Create(filepath.Join(dir, name+".log"))
	check(err)
	cmd := exec.Command(os.Getenv("GUAVATRESTLED"), "hosted", role)
	cmd.Env = []string{"GUAVATRESTLE_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + dir}
	cmd.Stdout, cmd.Stderr = output, output
	check(cmd.Start())
	startedMu.Lock()
	started = append(started, cmd)
	startedMu.Unlock()
	return cmd
}

// stopAll ends all processes that were started and removes the temporary folder.
func stopAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, cmd := range started {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	started = nil
	if dir != "" {
		_ = os.RemoveAll(dir)
	}
}

// settings returns the settings file of a process, with the bounds of the litoral-guava site.
func settings(a addresses, host int, class, name string) string {
	own := fmt.Sprintf("%s.%d", a.net, host)
	text := "node_name=" + name + "\nmachine_class=" + class + "\nserves=" + class + "\nip_address=" + own +
		"\nzone=centro-a\nregion=ar-centro\nzones.centro-a=ar-centro\n" +
		fmt.Sprintf("internal_ports=%d,%d\n", a.peers, a.peers+15) +
		"bootstrap=true\nheartbeat_ms=1200\ndiscovery=platform\n" +
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,chunks\n" +
		"bounds.stable_window_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.configuration_apply_ms=2000\n" +
		"bounds.enforce_revocation=true\nbounds.revoke_ms=5000\nbounds.budget_ratio=0.2\nbounds.budget_window_s=10\n" +
		"bounds.retry_slack=212\nbounds.cold_factor=1.5\nbounds.cold_slack=5\nbounds.evacuate_ms=5000\n" +
		"bounds.version_ms=8000\nplatform.address=" + a.at(200, a.shared) + "\nplatform.form=objects\n"
	if class == "front" {
		return text + "limits.link_mbps=700.0\nlisten.front=" + a.at(host, a.front) + "\nlisten.ready=" + a.at(host, a.ready) + "\n"
	}
	return text + "limits.link_mbps=9.4\napp=" + a.at(host, a.app) + "\nservice=guava-llm\n"
}

// awaitReady waits until an entry says that it takes callers.
func awaitReady(address string) {
	client := &http.Client{Timeout: time.Second}
	for range 100 {
		if response, err := client.Get("http://" + address + "/readiness"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	cannotRun("the entry at %s did not become ready", address)
}
