package rollout

import (
	"net"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/bench/link"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// links emulates the hosts' network links by relays that limit and delay connections.
//
// The host list contains the address of a relay in front of each agent's data listener. All readers get the same
// address, because processes share the list with each other. A relay asks the operating system which process opened a
// connection, and limits the connection by the links of both hosts. Agents that run in the process of the experiment
// cannot be told apart; their connections are limited by the link of the sending host only. If processes announce their
// own addresses to each other, their connections bypass the relays; Report.LinkLimits says so, and the bytes between
// hosts are taken from the product's metrics.
type links struct {
	hostBytesPerSecond float64
	regionDelay        time.Duration

	mu         sync.Mutex
	relays     map[string]*link.Relay
	limiters   map[string]*rate.Limiter
	hostsByPID map[int]core.Host
	// originCrossRegionBytes and peerCrossRegionBytes count the bytes that entered a region from the origin and from
	// hosts of other regions; peerBytes counts all bytes between hosts.
	originCrossRegionBytes atomic.Int64
	peerCrossRegionBytes   atomic.Int64
	peerBytes              atomic.Int64
}

func newLinks(hostBytesPerSecond float64, regionDelay time.Duration) *links {
	return &links{
		hostBytesPerSecond: hostBytesPerSecond,
		regionDelay:        regionDelay,
		relays:             make(map[string]*link.Relay),
		limiters:           make(map[string]*rate.Limiter),
		hostsByPID:         make(map[int]core.Host),
	}
}

// register adds an agent, so that its connections can be attributed to it.
func (l *links) register(agent *cluster.Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pid := agent.PID(); pid != 0 {
		l.hostsByPID[pid] = agent.Host
	}
}

// originURL returns the URL of a relay through which a host reaches the origin.
func (l *links) originURL(id core.HostID, region, originRegion core.Region, base string) (string, error) {
	target, err := url.Parse(base)
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	conditions := l.regionConditions(region, originRegion, &l.originCrossRegionBytes)
	conditions.Limiters = []*rate.Limiter{l.ensureLimiter("down " + string(id))}
	relay, err := l.ensureRelay("origin "+string(id), link.Config{
		Target:        target.Host,
		ConditionsFor: func(net.Conn) link.Conditions { return conditions },
	})
	if err != nil {
		return "", err
	}
	return "http://" + relay.Addr(), nil
}

// relayedHosts returns the host list with the addresses of the relays. An agent whose relay cannot be started is left
// out.
func (l *links) relayedHosts(_ string, hosts []core.Host) []core.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]core.Host, 0, len(hosts))
	for _, host := range hosts {
		if host.Role != core.RoleAgent {
			out = append(out, host)
			continue
		}
		relay, err := l.ensureRelay("host "+string(host.ID), link.Config{
			Target:        host.DataAddr,
			ConditionsFor: func(client net.Conn) link.Conditions { return l.peerConditions(client, host) },
		})
		if err == nil {
			host.DataAddr = relay.Addr()
			out = append(out, host)
		}
	}
	return out
}

// peerConditions returns the conditions of a connection from client to host.
func (l *links) peerConditions(client net.Conn, host core.Host) link.Conditions {
	source, ok := l.connectingHost(client)
	l.mu.Lock()
	defer l.mu.Unlock()
	var conditions link.Conditions
	if ok {
		conditions = l.regionConditions(source.Region, host.Region, &l.peerCrossRegionBytes)
		conditions.Limiters = append(conditions.Limiters, l.ensureLimiter("down "+string(source.ID)))
	}
	conditions.Limiters = append(conditions.Limiters, l.ensureLimiter("up "+string(host.ID)))
	conditions.ByteCounters = append(conditions.ByteCounters, &l.peerBytes)
	return conditions
}

// connectingHost returns the host that opened a connection and reports whether it was found.
func (l *links) connectingHost(client net.Conn) (core.Host, bool) {
	l.mu.Lock()
	var pids []int
	for pid := range l.hostsByPID {
		pids = append(pids, pid)
	}
	l.mu.Unlock()
	slices.Sort(pids)
	pid, ok := link.ClientPID(client, pids)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hostsByPID[pid], ok
}

// regionConditions returns the delay and the byte counter of a path between two regions; it has neither within a
// region.
func (l *links) regionConditions(a, b core.Region, counter *atomic.Int64) link.Conditions {
	if a == b {
		return link.Conditions{}
	}
	return link.Conditions{Delay: l.regionDelay, ByteCounters: []*atomic.Int64{counter}}
}

// ensureLimiter returns the rate limiter with a name, for one direction of a host's link, and creates it if it does not
// exist. The caller holds the lock.
func (l *links) ensureLimiter(name string) *rate.Limiter {
	if l.limiters[name] == nil {
		l.limiters[name] = link.NewLimiter(l.hostBytesPerSecond)
	}
	return l.limiters[name]
}

// ensureRelay returns the relay with a name and starts it if it does not exist. The caller holds the lock.
func (l *links) ensureRelay(name string, cfg link.Config) (*link.Relay, error) {
	if existing := l.relays[name]; existing != nil {
		return existing, nil
	}
	started, err := link.New(cfg)
	if err == nil {
		l.relays[name] = started
	}
	return started, err
}

// close closes all relays and waits for them.
func (l *links) close() {
	l.mu.Lock()
	relays := l.relays
	l.relays = nil
	l.mu.Unlock()
	var wg sync.WaitGroup
	for _, relay := range relays {
		wg.Go(relay.Close)
	}
	wg.Wait()
}
