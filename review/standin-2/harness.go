//go:build review

// Command standin-2 holds the stand-ins of the second review and plays its scripted cases. Each case starts the project's own programs as
// separate processes on loopback addresses, judges what clients and workers have seen, and exits with 1 if a rule was broken.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
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

// longest is the time after which a case ends without a result.
const longest = 100 * time.Second

// Header names of the wire.
const (
	headerID       = "X-Guavatrestle-Request-Id"
	headerDeadline = "X-Guavatrestle-Deadline-Milliseconds"
	headerStamp    = "X-Guavatrestle-Answer-Stamp"
	headerExpect   = "X-Guavatrestle-Expect-Instance"
	headerNotRun   = "X-Guavatrestle-Not-Run"
	headerInstance = "X-Guavatrestle-Instance-Id"
)

// world is one play of a case.
type world struct {
	dir     string
	trouble bool
	began   time.Time
	store   *store

	// internal is the first port between processes, the same on all machines.
	internal int

	mu        sync.Mutex
	record    *os.File
	processes []*process
	nextIP    int
}

// fatal ends the case as one that couldn't run.
func (w *world) fatal(err error) {
	w.note("the case couldn't run: %v", err)
	w.stop()
	os.Exit(exitNotRun)
}

// note writes a line with the time since the start of the case to record.txt.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// verdict writes the result and ends the case.
func (w *world) verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	code := exitHeld
	result := "held"
	if broken {
		code, result = exitBroken, "BROKEN"
	}
	w.note("verdict: %s: %s", result, text)
	fmt.Printf("%s: %s\n", result, text)
	w.stop()
	os.Exit(code)
}

// stop ends the processes that the case has started.
func (w *world) stop() {
	w.mu.Lock()
	processes := w.processes
	w.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	_ = os.RemoveAll(w.dir)
}

// process is a program of the project.
type process struct {
	w    *world
	name string
	role string
	boot string
	log  *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(filepath.Join(root(), "target", "guavatrestled"), "hosted", p.role)
	cmd.Env = append(os.Environ(), "GUAVATRESTLE_BOOT="+p.boot)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		p.w.note("start %s: %v", p.name, err)
		return
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	p.w.note("%s is started", p.name)
	go func() {
		_ = cmd.Wait()
		p.w.note("%s has ended: %v", p.name, cmd.ProcessState)
		close(done)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.w.note("%s gets signal %v", p.name, s)
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// root is the folder of the repository.
func root() string {
	if dir := os.Getenv("REVIEW_ROOT"); dir != "" {
		return dir
	}
	return "."
}

// freePort returns a port of an address such that it and the two that follow are free for TCP and UDP.
func freePort(ip string) int {
	for {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		port := listener.Addr().(*net.TCPAddr).Port
		_ = listener.Close()
		if port > 65000 {
			continue
		}
		free := true
		for offset := range 3 {
			address := net.JoinHostPort(ip, strconv.Itoa(port+offset))
			tcp, err := net.Listen("tcp", address)
			if err != nil {
				free = false
				break
			}
			_ = tcp.Close()
			udp, err := net.ListenPacket("udp", address)
			if err != nil {
				free = false
				break
			}
			_ = udp.Close()
		}
		if free {
			return port
		}
	}
}

// host is what a process learns of its machine.
type host struct {
	ip, zone string
	front    string
	ready    string
	process  *process
}

var regions = map[string]string{"z-one": "r-one", "z-two": "r-two", "z-three": "r-three"}

// newIP returns a loopback address that no other machine of the case has.
func (w *world) newIP() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextIP++
	return fmt.Sprintf("127.0.%d.%d", 20+os.Getpid()%200, w.nextIP)
}

// settings are the lines of a settings file that all machines share.
func (w *world) settings(ip, zone, class string) []string {
	lines := []string{
		"node_name=" + class + "-" + ip, "role=r", "machine_class=" + class, "ip_address=" + ip, "zone=" + zone,
		"region=" + regions[zone], fmt.Sprintf("internal_ports=%d,%d", w.internal, w.internal+15), "bootstrap=true",
		"count_toward_tolerance=false", "limits.cores=1", "limits.link_mbps=700.0", "limits.disk_mb=0", "discovery=platform",
		"entry=virtual_ip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,chunks",
		"tolerate.machines=2", "tolerate.zones=1", "tolerate.regions=0", "bounds.seed_lag_s=3", "bounds.reuse_after_s=2",
		"bounds.stable_window_ms=3000", "bounds.acknowledge_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000", "bounds.grace_s=8",
		"bounds.loss_slack_ms=200", "bounds.configuration_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.outer_bound_ms=5000",
		"bounds.enforce_revocation=true", "bounds.revoke_ms=5000", "bounds.budget_ratio=0.2", "bounds.budget_window_s=10",
		"bounds.retry_slack=212", "bounds.cold_factor=1.5", "bounds.cold_slack=5", "bounds.evacuate_ms=5000", "bounds.recovery_s=12",
		"bounds.pass_ms=120", "bounds.retry_after_s=0", "bounds.version_ms=8000", "bounds.version_all_ms=0",
		"platform.address=" + w.store.address, "platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	for zone, region := range regions {
		lines = append(lines, "zones."+zone+"="+region)
	}
	return lines
}

// addProcess prepares a process with a settings file.
func (w *world) addProcess(name, role string, lines []string) *process {
	boot := filepath.Join(w.dir, name+".conf")
	if err := os.WriteFile(boot, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		w.fatal(err)
	}
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		w.fatal(err)
	}
	p := &process{w: w, name: name, role: role, boot: boot, log: log}
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	return p
}

// addEntry prepares an entry process.
func (w *world) addEntry(name, zone string) *host {
	ip := w.newIP()
	h := &host{ip: ip, zone: zone}
	h.front = net.JoinHostPort(ip, strconv.Itoa(freePort(ip)))
	h.ready = net.JoinHostPort(ip, strconv.Itoa(freePort(ip)))
	lines := append(w.settings(ip, zone, "front"),
		"serves=front", "listen.front="+h.front, "listen.ready="+h.ready, "limits.cpu_share=0.208", "limits.memory_mb=206",
		"limits.file_descriptors=2870")
	h.process = w.addProcess(name, "entry", lines)
	return h
}

// addAgent prepares an agent process beside a model worker at an address.
func (w *world) addAgent(name, zone, service, ip, app string) *process {
	lines := append(w.settings(ip, zone, "side"),
		"serves=side", "app="+app, "service="+service, "limits.cpu_share=0.48", "limits.memory_mb=152", "limits.file_descriptors=2048")
	return w.addProcess(name, "agent", lines)
}

// awaitReady waits until an entry process says that it is ready.
func (w *world) awaitReady(h *host) {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		response, err := client.Get("http://" + h.ready + "/readiness")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				w.note("%s is ready", h.process.name)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.fatal(fmt.Errorf("%s is not ready after 15 s", h.process.name))
}

// object is an object of the store.
type object struct {
	Metadata      metadata        `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind    string
	at      int64
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

// store is a stand-in for the platform's store: lists and watches.
type store struct {
	w       *world
	address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	changes  []change
	wake     chan struct{}
	// hook, if set, may answer a call in place of the store and returns true then.
	hook func(rw http.ResponseWriter, r *http.Request) bool
}

func (w *world) startStore() {
	w.store = &store{w: w, revision: 10, objects: map[string]map[string]object{}, wake: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fatal(err)
	}
	w.store.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store) }()
}

// put stores an object and returns the time of the ack.
func (s *store) put(kind, name string, specification any) time.Time {
	body, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	created := s.revision
	if old, ok := s.objects[kind][name]; ok {
		created = old.Metadata.Created
	}
	o := object{
		Metadata:      metadata{Name: name, Revision: s.revision, Created: created, Finalizers: []string{}},
		Specification: body, Status: json.RawMessage("null"),
	}
	s.objects[kind][name] = o
	s.changed(change{kind: kind, at: s.revision, Object: o})
	return time.Now()
}

// remove removes an object and returns the time of the ack.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return time.Now()
	}
	s.revision++
	delete(s.objects[kind], name)
	s.changed(change{kind: kind, at: s.revision, Object: o, Removed: true})
	return time.Now()
}

// changed adds a change; the caller holds the lock.
func (s *store) changed(c change) {
	s.changes = append(s.changes, c)
	close(s.wake)
	s.wake = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if s.hook != nil && s.hook(rw, r) {
		return
	}
	kind, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok || r.Method != http.MethodGet {
		http.NotFound(rw, r)
		return
	}
	query := r.URL.Query()
	rw.Header().Set("Content-Type", "application/json")
	if !query.Has("watch") {
		_ = json.NewEncoder(rw).Encode(s.list(kind))
		return
	}
	since, _ := strconv.ParseInt(query.Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	_ = json.NewEncoder(rw).Encode(s.watch(r, kind, since, time.Duration(wait)*time.Millisecond))
}

func (s *store) list(kind string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return map[string]any{"items": items, "has_more": false, "at": s.revision}
}

func (s *store) watch(r *http.Request, kind string, since int64, wait time.Duration) map[string]any {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, at, wake := []change{}, s.revision, s.wake
		for _, c := range s.changes {
			if c.kind == kind && c.at > since {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			return map[string]any{"events": events, "at": at}
		}
		select {
		case <-r.Context().Done():
			return map[string]any{"events": events, "at": at}
		case <-timer.C:
			return map[string]any{"events": events, "at": at}
		case <-wake:
		}
	}
}

// configuration returns the first configuration of a case.
func configuration(version int, routes, services, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}
}

func route(name, host, prefix, kind, service string, timeoutMS, targetMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": targetMS,
		"priority": 1, "service": service, "attempts": attempts, "allow_anonymous": false, "home_regions": []string{},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_check_path": "/health", "connection_limit": 220, "protocol": "h1", "tls": false, "cold_start_s": 0.0,
		"cold_per_s": 0.0,
	}
}

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "priority": 1, "home_regions": []string{}}
}

// registration is the entry of a worker of a plain service.
func registration(service, address, zone, state string, slots int, born int64) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": state, "cold_remaining_ms": 0,
		"sequence": 1, "born": born,
	}
}

// client is a client's channel to an entry host.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dial opens a channel. receiveBytes bounds its receive buffer, 0 for that of the system.
func dial(address string, receiveBytes int) (*client, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if receiveBytes > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
			})
			if err != nil {
				return err
			}
			return failure
		}
	}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReaderSize(conn, 1024)}, nil
}

// send writes a request.
func (c *client) send(method, path, host, id, key string, deadlineMS int, body string) error {
	return c.sendWith(method, path, host, id, key, deadlineMS, body, "")
}

// sendWith writes a request with more header lines.
func (c *client) sendWith(method, path, host, id, key string, deadlineMS int, body, lines string) error {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, host, headerID, id, headerDeadline, deadlineMS, key)
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	_, err := c.conn.Write([]byte(head.String() + lines + "\r\n" + body))
	return err
}

// receive reads the head of an answer.
func (c *client) receive(method string) (*http.Response, error) {
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

func newWorld() *world {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	record, err := os.Create(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	w := &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	w.internal = freePort(fmt.Sprintf("127.0.%d.250", 20+os.Getpid()%200))
	w.note("trouble: %v", w.trouble)
	w.startStore()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			w.fatal(errors.New("stopped by a signal"))
		case <-time.After(longest):
			w.fatal(fmt.Errorf("no result after %v", longest))
		}
	}()
	return w
}

var cases = map[string]func(*world){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin-2 CASE")
		os.Exit(exitNotRun)
	}
	cases[os.Args[1]](newWorld())
}
