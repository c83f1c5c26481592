package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/platform/platformtest"
)

const (
	modelName        = "model"
	teamName         = "blue"
	engineName       = "engine"
	plainName        = "plain"
	originName       = "origin"
	layers           = 4
	chunks           = 8
	slots            = 16
	callersPort      = 17801
	readyPort        = 17802
	peerPort         = 17810
	workerPort       = 17830
	workerDirectPort = 17831
	storePort        = 17840
	// readyTimeout is the timeout of one readiness check.
	readyTimeout = 300 * time.Millisecond
	// registrationExpiry is the time after which the registration of a crashed worker is removed.
	registrationExpiry = 900 * time.Millisecond
)

var failureDomains = []string{"a", "b"}

// fleet is a set of real processes connected to stand-ins.
type fleet struct {
	seed        uint64
	loopbackNet int
	checker     *checker
	store       *platformtest.Store
	keys        []string

	entries, agents []*process
	// storeProxies holds the proxy between each process and the store, by process name.
	storeProxies map[string]*faultProxy
	workers      []*workerHost

	mu            sync.Mutex
	configuration platformtest.Configuration
	closers       []func()
	started       int64
	// responseLossPercent is the percentage of responses that workers lose.
	responseLossPercent atomic.Int64
	// longestOrderDelay is the longest delay in nanoseconds with which workers deal with orders.
	longestOrderDelay atomic.Int64
	// crashingPrompts is true while some callers send prompts on which workers crash.
	crashingPrompts atomic.Bool
	// suspensions counts the suspensions during a verification or around a version.
	suspensions atomic.Int64
	// restarts waits for the workers that restart after such a crash.
	restarts sync.WaitGroup
	// version is the newest target version.
	version atomic.Int64
	// outOfService is the failure domain that is out of service, empty if none is.
	outOfService string
}

// workerHost is a host that runs one worker at a time and starts a new one after a crash.
type workerHost struct {
	fleet                  *fleet
	name, service, domain  string
	address, directAddress string
	proxy                  *faultProxy
	mu                     sync.Mutex
	server                 *http.Server
	worker                 *platformtest.Worker
	// limit is the request limit that the worker states, nil for none.
	limit atomic.Pointer[platformtest.RequestLimit]
	// suspension suspends the agent at a chosen moment of its next verification, nil for none.
	suspension atomic.Pointer[suspension]
	// endless is how the worker's responses do not end, nil while they do.
	endless atomic.Pointer[endlessResponses]
	// malformed is which of the worker's responses are malformed, nil while none are.
	malformed   atomic.Pointer[malformedResponses]
	runsStarted int
	// previousID is the ID of the worker that crashed last, empty if none has.
	previousID string
}

// ip returns the loopback address of host number in a group: 1 for entries, 2 for agents, 3 for stand-ins of the platform,
// 4 for proxies to the store and 5 for plain workers.
func (f *fleet) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.loopbackNet, group, number+1)
}

func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// domain returns the failure domain of host number.
func domain(number int) string { return failureDomains[number%len(failureDomains)] }

// serve starts a server on address, which stops when the fleet is closed.
func (f *fleet) serve(address string, handler http.Handler) error {
	server, err := listenAndServe(address, handler)
	if err != nil {
		return err
	}
	f.closers = append(f.closers, func() { _ = server.Close() })
	return nil
}

func listenAndServe(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// startFleet starts the stand-ins and the processes.
func startFleet(cfg Config, checker *checker) (*fleet, error) {
	f := &fleet{
		seed: cfg.Seed, loopbackNet: cfg.LoopbackNet, checker: checker, store: platformtest.NewStore(),
		storeProxies: make(map[string]*faultProxy),
		keys:         []string{"key-1", "key-2", "key-3", "key-4"}, started: time.Now().UnixMilli(),
	}
	err := errors.Join(
		f.serve(hostPort(f.ip(3, 0), storePort), f.store),
		f.serve(hostPort(f.ip(3, 1), storePort), &platformtest.Origin{Chunks: chunks, Newest: f.version.Load}),
	)
	f.configure(func(c *platformtest.Configuration) { *c = f.initialConfiguration() })
	for i := range cfg.PlainWorkers {
		err = errors.Join(err, f.addWorker(plainName, fmt.Sprint("plain-", i), f.ip(5, i), domain(i)))
	}
	for i := range cfg.Agents {
		err = errors.Join(err, f.addWorker(engineName, fmt.Sprint("agent-", i), f.ip(2, i), domain(i)))
	}
	for i := range cfg.Entries {
		err = errors.Join(err, f.addProcess(cfg, platformtest.Settings{
			Host: fmt.Sprint("entry-", i), MemoryMB: cfg.entryMemoryMB(), Role: "entry", Address: f.ip(1, i), FailureDomain: domain(i),
			CallerListen: hostPort(f.ip(1, i), callersPort), ReadyListen: hostPort(f.ip(1, i), readyPort),
		}))
	}
	for i := range cfg.Agents {
		err = errors.Join(err, f.addProcess(cfg, platformtest.Settings{
			Host: fmt.Sprint("agent-", i), MemoryMB: maxAgentMemoryMB, Role: "agent", Address: f.ip(2, i), FailureDomain: domain(i),
			WorkerAddress: hostPort(f.ip(2, i), workerDirectPort), Service: engineName,
		}))
	}
	return f, err
}

func (f *fleet) initialConfiguration() platformtest.Configuration {
	route := func(k requestKind, service string) platformtest.Route {
		return platformtest.Route{
			Host: callerHost, Prefix: "/" + string(k) + "/", Kind: string(k), Service: service, Timeout: callerDeadline,
			Objective: 300 * time.Millisecond, Resumable: k == kindStream,
		}
	}
	slow := func(k requestKind, service string) platformtest.Route {
		r := route(k, service)
		r.Prefix, r.Timeout = slowPath(k), slowTimeout
		return r
	}
	return platformtest.Configuration{
		Routes: []platformtest.Route{
			route(kindSafe, plainName), route(kindUnsafe, plainName), route(kindStream, engineName),
			slow(kindUnsafe, plainName), slow(kindStream, engineName),
		},
		Keys:          map[string][]string{teamName: f.keys},
		EngineService: engineName, PlainService: plainName, OriginService: originName,
		OriginAddress: hostPort(f.ip(3, 1), storePort), OriginDomain: failureDomains[0],
		Model: modelName, Slots: slots, Layers: layers, Chunks: chunks,
	}
}

// configure applies change to the configuration, stores it under a new version and returns the time at which
// the store acknowledged it.
func (f *fleet) configure(change func(*platformtest.Configuration)) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.configuration)
	f.configuration.Version++
	f.store.PutConfiguration(f.configuration)
	return time.Now()
}

// takeOutOfService writes the evacuation of a failure domain, returnToService removes it.
func (f *fleet) takeOutOfService(domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outOfService = domain
	f.store.PutEvacuation(domain)
}

func (f *fleet) returnToService(domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outOfService = ""
	f.store.RemoveEvacuation(domain)
}

// rewriteStore writes the configuration, the evacuation, the target version and the registrations again, as after the store lost them.
func (f *fleet) rewriteStore() {
	f.mu.Lock()
	f.store.PutConfiguration(f.configuration)
	if f.outOfService != "" {
		f.store.PutEvacuation(f.outOfService)
	}
	f.mu.Unlock()
	if version := f.version.Load(); version > 0 {
		f.store.SetTargetVersion(modelName, version)
	}
	for _, h := range f.workers {
		h.register()
	}
}

func (f *fleet) addProcess(cfg Config, s platformtest.Settings) error {
	address := hostPort(f.ip(4, len(f.storeProxies)), storePort)
	proxy, err := startFaultProxy(address, hostPort(f.ip(3, 0), storePort))
	if err != nil {
		return err
	}
	f.storeProxies[s.Host] = proxy
	s.StoreAddress, s.PeerPort = address, peerPort
	s.ShutdownTimeout, s.RevokedKeyTimeout, s.ActivationTimeout = shutdownBound, revokeBound, activateBound
	s.FailureDomains = failureDomains
	p, err := startProcess(cfg.Dir, cfg.Binary, s)
	if err != nil {
		return err
	}
	if s.Role == "entry" {
		f.entries = append(f.entries, p)
	} else {
		f.agents = append(f.agents, p)
	}
	return nil
}

func (f *fleet) addWorker(service, name, ip, failureDomain string) error {
	h := &workerHost{
		fleet: f, name: name, service: service, domain: failureDomain,
		address: hostPort(ip, workerPort), directAddress: hostPort(ip, workerDirectPort),
	}
	proxy, err := startFaultProxy(h.address, h.directAddress)
	if err != nil {
		return err
	}
	h.proxy = proxy
	f.workers = append(f.workers, h)
	return h.start(1)
}

// start starts a worker that has version loaded; version 0 means that it has no weights.
func (h *workerHost) start(version int64) error { return h.startWith(version, nil) }

// startAfter starts a worker that has loaded nothing and finds what is staged at its predecessor.
func (h *workerHost) startAfter(previous *platformtest.Worker) error { return h.startWith(0, previous) }

func (h *workerHost) startWith(version int64, previous *platformtest.Worker) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runsStarted++
	w := &platformtest.Worker{
		ID: fmt.Sprintf("%s-run%d", h.name, h.runsStarted), Born: time.Now().UnixMilli(), Slots: slots,
		Layers: layers, Chunks: chunks, OnRun: h.fleet.checker.recordRun, ShouldDropResponse: h.fleet.shouldDropResponse,
		OrderDelay: h.fleet.orderDelay, CrashesOn: crashesOn, Limit: h.limit.Load,
		Endless: h.endlessWay, Malformed: h.answersMalformed,
	}
	w.OnStagedRead = func(index int) { h.suspension.Load().observeRead(w, index) }
	w.OnReport = func() { h.suspension.Load().observeReport(w) }
	w.OnCrash = sync.OnceFunc(func() {
		h.fleet.checker.recordCrash(time.Now())
		h.fleet.restarts.Go(func() { h.crash(h.fleet.version.Load()) })
	})
	if h.service == engineName {
		w.Model = modelName
		w.SetLoadedVersion(version)
		if previous != nil {
			w.KeepStaged(previous)
		}
	}
	server, err := listenAndServe(h.directAddress, w)
	if err != nil {
		return err
	}
	if h.worker != nil {
		h.previousID = h.worker.ID
	}
	h.worker, h.server = w, server
	h.putRegistration()
	return nil
}

// register writes the worker's registration again and removes that of its predecessor.
func (h *workerHost) register() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fleet.store.RemoveReplica(h.previousID)
	h.putRegistration()
}

// putRegistration stores the worker's registration; the caller holds the lock.
func (h *workerHost) putRegistration() {
	h.fleet.store.PutReplica(h.worker.ID, platformtest.Replica{
		Service: h.service, Address: h.address, FailureDomain: h.domain, Slots: slots, Born: h.worker.Born,
	})
}

func (f *fleet) shouldDropResponse() bool { return rand.Int64N(100) < f.responseLossPercent.Load() }

func (f *fleet) orderDelay() time.Duration {
	return time.Duration(rand.Int64N(f.longestOrderDelay.Load() + 1))
}

// crashesOn reports whether workers crash on a prompt.
func crashesOn(prompt string) bool { return strings.Contains(prompt, ","+crashingPart+":") }

// crash stops the worker, removes its registration after registrationExpiry and starts another worker that has version loaded.
func (h *workerHost) crash(version int64) {
	h.mu.Lock()
	id := h.worker.ID
	_ = h.server.Close()
	h.mu.Unlock()
	time.Sleep(registrationExpiry)
	h.fleet.store.RemoveReplica(id)
	_ = h.start(version)
}

// pickEntry returns a random entry that is ready, or any entry if none is.
func (f *fleet) pickEntry(random *rand.Rand) string {
	client := &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	order := random.Perm(len(f.entries))
	for _, i := range order {
		if platformtest.IsReady(client, hostPort(f.ip(1, i), readyPort)) {
			return hostPort(f.ip(1, i), callersPort)
		}
	}
	return hostPort(f.ip(1, order[0]), callersPort)
}

// close stops all processes and stand-ins and returns a message for each process that exited unexpectedly.
func (f *fleet) close() []string {
	f.restarts.Wait()
	var unexpected []string
	for _, p := range append(f.entries, f.agents...) {
		if count := p.close(); count > 0 {
			unexpected = append(unexpected, fmt.Sprintf("%s exited unexpectedly %d times", p.name, count))
		}
	}
	for _, proxy := range f.storeProxies {
		proxy.close()
	}
	for _, h := range f.workers {
		h.proxy.close()
		_ = h.server.Close()
	}
	for _, closer := range f.closers {
		closer()
	}
	return unexpected
}
