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

// links holds the relays that stand for the hosts' links.
//
// The host list shows the address of a relay in front of each host's data listener, the same to all readers, because
// processes pass the list on to each other. A relay learns from the system which process opened a connection, and
// limits it by the links of both hosts. Agents that run inside the experiment cannot be told apart; their connections
// are limited by the link of the sending host only. A product whose processes announce their own addresses to each
// other passes by these relays; the report says so, and then takes the bytes between hosts from the product's metrics.
type links struct {
	hostRate    float64
	regionDelay time.Duration

	mu      sync.Mutex
	relays  map[string]*link.Relay
	limits  map[string]*rate.Limiter
	readers map[int]core.Host
	// originCross and peerCross count bytes that entered a region, peerBytes all bytes between hosts.
	originCross atomic.Int64
	peerCross   atomic.Int64
	peerBytes   atomic.Int64
}

func newLinks(hostRate float64, regionDelay time.Duration) *links {
	return &links{
		hostRate:    hostRate,
		regionDelay: regionDelay,
		relays:      make(map[string]*link.Relay),
		limits:      make(map[string]*rate.Limiter),
		readers:     make(map[int]core.Host),
	}
}

// add makes an agent's connections known.
func (l *links) add(agent *cluster.Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pid := agent.PID(); pid != 0 {
		l.readers[pid] = agent.Host
	}
}

// origin returns the URL under which a host reaches the origin.
func (l *links) origin(id core.HostID, region, originRegion core.Region, base string) (string, error) {
	target, err := url.Parse(base)
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	path := l.crossing(region, originRegion, &l.originCross)
	path.Limiters = []*rate.Limiter{l.limit("down " + string(id))}
	relay, err := l.relay("origin "+string(id), link.Config{
		Target:        target.Host,
		ConditionsFor: func(net.Conn) link.Conditions { return path },
	})
	if err != nil {
		return "", err
	}
	return "http://" + relay.Addr(), nil
}

// view returns the host list with the relays' addresses. A host whose relay cannot be started is left out.
func (l *links) view(_ string, hosts []core.Host) []core.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]core.Host, 0, len(hosts))
	for _, host := range hosts {
		if host.Role != core.RoleAgent {
			out = append(out, host)
			continue
		}
		relay, err := l.relay("host "+string(host.ID), link.Config{
			Target:        host.DataAddr,
			ConditionsFor: func(client net.Conn) link.Conditions { return l.between(client, host) },
		})
		if err == nil {
			host.DataAddr = relay.Addr()
			out = append(out, host)
		}
	}
	return out
}

// between returns the conditions of a connection to host.
func (l *links) between(client net.Conn, host core.Host) link.Conditions {
	reader, known := l.reader(client)
	l.mu.Lock()
	defer l.mu.Unlock()
	var path link.Conditions
	if known {
		path = l.crossing(reader.Region, host.Region, &l.peerCross)
		path.Limiters = append(path.Limiters, l.limit("down "+string(reader.ID)))
	}
	path.Limiters = append(path.Limiters, l.limit("up "+string(host.ID)))
	path.ByteCounters = append(path.ByteCounters, &l.peerBytes)
	return path
}

// reader returns the host that opened a connection.
func (l *links) reader(client net.Conn) (core.Host, bool) {
	l.mu.Lock()
	var pids []int
	for pid := range l.readers {
		pids = append(pids, pid)
	}
	l.mu.Unlock()
	slices.Sort(pids)
	pid, ok := link.ClientPID(client, pids)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readers[pid], ok
}

// crossing returns the delay and the counter of a path between regions.
func (l *links) crossing(a, b core.Region, counter *atomic.Int64) link.Conditions {
	if a == b {
		return link.Conditions{}
	}
	return link.Conditions{Delay: l.regionDelay, ByteCounters: []*atomic.Int64{counter}}
}

// limit returns the rate limit of one direction of a host's link; the caller holds the lock.
func (l *links) limit(name string) *rate.Limiter {
	if l.limits[name] == nil {
		l.limits[name] = link.NewLimiter(l.hostRate)
	}
	return l.limits[name]
}

// relay returns the relay with a name and starts it at first; the caller holds the lock.
func (l *links) relay(name string, cfg link.Config) (*link.Relay, error) {
	if held := l.relays[name]; held != nil {
		return held, nil
	}
	started, err := link.New(cfg)
	if err == nil {
		l.relays[name] = started
	}
	return started, err
}

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
