package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/platform/platformtest"
)

const (
	modelName   = "model"
	teamName    = "blue"
	engineName  = "engine"
	plainName   = "plain"
	originName  = "origin"
	layers      = 4
	chunks      = 8
	slots       = 16
	callersPort = 17801
	readyPort   = 17802
	peerPort    = 17810
	workerPort  = 17830
	behindPort  = 17831
	storePort   = 17840
	// readyTimeout bounds one readiness check.
	readyTimeout = 300 * time.Millisecond
	// lapse is the time after which the registration of a silent worker goes.
	lapse = 900 * time.Millisecond
)

var failureDomains = []string{"a", "b"}

// fleet is a running fleet: real processes between stand-ins.
type fleet struct {
	seed  uint64
	net   int
	judge *judge
	store *platformtest.Store
	keys  []string

	entries, agents []*process
	// storeGates holds the gate between each process and the store, by the name of the process.
	storeGates map[string]*gate
	workers    []*workerHost

	mu            sync.Mutex
	configuration platformtest.Configuration
	closers       []func()
	started       int64
	// losing is the number of answers in a hundred that workers lose.
	losing atomic.Int64
	// version is the newest version named.
	version atomic.Int64
}

// workerHost is a place for a worker, which gets a new one after a crash.
type workerHost struct {
	fleet                 *fleet
	name, service, domain string
	address, behind       string
	gate                  *gate
	mu                    sync.Mutex
	server                *http.Server
	worker                *platformtest.Worker
	runsStarted           int
}

func (f *fleet) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.net, group, number+1)
}

func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// domain returns the failure domain of the host with a number.
func domain(number int) string { return failureDomains[number%len(failureDomains)] }

// serve starts a server on an address and stops it with the fleet.
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

// startFleet starts stand-ins and processes.
func startFleet(cfg Config, j *judge) (*fleet, error) {
	f := &fleet{
		seed: cfg.Seed, net: cfg.LoopbackNet, judge: j, store: platformtest.NewStore(), storeGates: make(map[string]*gate),
		keys: []string{"key-1", "key-2", "key-3", "key-4"}, started: time.Now().UnixMilli(),
	}
	err := errors.Join(
		f.serve(hostPort(f.ip(3, 0), storePort), f.store),
		f.serve(hostPort(f.ip(3, 1), storePort), &platformtest.Origin{Chunks: chunks}),
	)
	f.configure(func(c *platformtest.Configuration) { *c = f.firstConfiguration() })
	for i := range cfg.PlainWorkers {
		err = errors.Join(err, f.addWorker(plainName, fmt.Sprint("plain-", i), f.ip(5, i), domain(i)))
	}
	for i := range cfg.Agents {
		err = errors.Join(err, f.addWorker(engineName, fmt.Sprint("agent-", i), f.ip(2, i), domain(i)))
	}
	for i := range cfg.Entries {
		err = errors.Join(err, f.addProcess(cfg, platformtest.Settings{
			Host: fmt.Sprint("entry-", i), Role: "entry", Address: f.ip(1, i), FailureDomain: domain(i),
			CallerListen: hostPort(f.ip(1, i), callersPort), ReadyListen: hostPort(f.ip(1, i), readyPort),
		}))
	}
	for i := range cfg.Agents {
		err = errors.Join(err, f.addProcess(cfg, platformtest.Settings{
			Host: fmt.Sprint("agent-", i), Role: "agent", Address: f.ip(2, i), FailureDomain: domain(i),
			WorkerAddress: hostPort(f.ip(2, i), behindPort), Service: engineName,
		}))
	}
	return f, err
}

func (f *fleet) firstConfiguration() platformtest.Configuration {
	route := func(k kind, service string) platformtest.Route {
		return platformtest.Route{
			Host: callerHost, Prefix: "/" + string(k) + "/", Kind: string(k), Service: service, Timeout: callerDeadline,
			Objective: 300 * time.Millisecond, Resumable: k == kindStream,
		}
	}
	return platformtest.Configuration{
		Routes:        []platformtest.Route{route(kindSafe, plainName), route(kindUnsafe, plainName), route(kindStream, engineName)},
		Keys:          map[string][]string{teamName: f.keys},
		EngineService: engineName, PlainService: plainName, OriginService: originName,
		OriginAddress: hostPort(f.ip(3, 1), storePort), OriginDomain: failureDomains[0],
		Model: modelName, Slots: slots, Layers: layers, Chunks: chunks,
	}
}

// configure changes the configuration and returns the time of its acknowledgement.
func (f *fleet) configure(change func(*platformtest.Configuration)) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.configuration)
	f.configuration.Version++
	f.store.PutConfiguration(f.configuration)
	return time.Now()
}

func (f *fleet) addProcess(cfg Config, s platformtest.Settings) error {
	address := hostPort(f.ip(4, len(f.storeGates)), storePort)
	g, err := openGate(address, hostPort(f.ip(3, 0), storePort))
	if err != nil {
		return err
	}
	f.storeGates[s.Host] = g
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
		address: hostPort(ip, workerPort), behind: hostPort(ip, behindPort),
	}
	g, err := openGate(h.address, h.behind)
	if err != nil {
		return err
	}
	h.gate = g
	f.workers = append(f.workers, h)
	return h.start(1)
}

// start starts a worker that holds a version, or none.
func (h *workerHost) start(version int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runsStarted++
	w := &platformtest.Worker{
		ID: fmt.Sprintf("%s-run%d", h.name, h.runsStarted), Born: time.Now().UnixMilli(), Slots: slots,
		Layers: layers, Chunks: chunks, OnRun: h.fleet.judge.run, ShouldDropResponse: h.fleet.losesAnswer,
	}
	if h.service == engineName {
		w.Model = modelName
		w.SetLoadedVersion(version)
	}
	server, err := listenAndServe(h.behind, w)
	if err != nil {
		return err
	}
	h.worker, h.server = w, server
	h.fleet.store.PutReplica(w.ID, platformtest.Replica{
		Service: h.service, Address: h.address, FailureDomain: h.domain, Slots: slots, Born: w.Born,
	})
	return nil
}

func (f *fleet) losesAnswer() bool { return rand.Int64N(100) < f.losing.Load() }

// crash ends the worker; its registration lapses, and another worker without weights starts in its place.
func (h *workerHost) crash() {
	h.mu.Lock()
	id := h.worker.ID
	_ = h.server.Close()
	h.mu.Unlock()
	time.Sleep(lapse)
	h.fleet.store.RemoveReplica(id)
	_ = h.start(0)
}

// pickEntry returns an entry that says it is ready, or any entry when none does.
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

// close ends all processes and stand-ins and returns the processes that had ended by themselves.
func (f *fleet) close() []string {
	var unasked []string
	for _, p := range append(f.entries, f.agents...) {
		if count := p.close(); count > 0 {
			unasked = append(unasked, fmt.Sprintf("%s ended %d times by itself", p.name, count))
		}
	}
	for _, g := range f.storeGates {
		g.close()
	}
	for _, h := range f.workers {
		h.gate.close()
		_ = h.server.Close()
	}
	for _, closer := range f.closers {
		closer()
	}
	return unasked
}
