package rollout

import (
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/guavatrestle/guavatrestle/bench/link"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// links holds the relays that stand for the hosts' links.
//
// Each viewer reads a host list of its own, in which the addresses of the other hosts lead through relays. A viewer is
// a host; in large runs it is a region, because relays between all pairs of hosts would be too many. Then only the
// link out of a host is limited by relays, and the link into it only by the product's own setting.
type links struct {
	hostRate    float64
	regionDelay time.Duration
	perRegion   bool

	mu      sync.Mutex
	relays  map[string]*link.Relay
	limits  map[string]*rate.Limiter
	regions map[string]core.Region
	cross   atomic.Int64
}

func newLinks(hostRate float64, regionDelay time.Duration, perRegion bool) *links {
	return &links{
		hostRate:    hostRate,
		regionDelay: regionDelay,
		perRegion:   perRegion,
		relays:      make(map[string]*link.Relay),
		limits:      make(map[string]*rate.Limiter),
		regions:     make(map[string]core.Region),
	}
}

// viewer returns the name under which a host reads the host list.
func (l *links) viewer(id core.HostID, region core.Region) string {
	name := string(id)
	if l.perRegion {
		name = "region-" + string(region)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.regions[name] = region
	return name
}

// origin returns the URL under which a host reaches the origin.
func (l *links) origin(id core.HostID, region, originRegion core.Region, base string) (string, error) {
	target, err := url.Parse(base)
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	cfg := link.Config{Target: target.Host, Limits: []*rate.Limiter{l.limit("down " + string(id))}}
	l.crossing(&cfg, region, originRegion)
	relay, err := l.relay("origin "+string(id), cfg)
	if err != nil {
		return "", err
	}
	return "http://" + relay.Addr(), nil
}

// view returns the host list as a viewer sees it. A host whose relays cannot be started is left out.
func (l *links) view(viewer string, hosts []core.Host) []core.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	region, known := l.regions[viewer]
	if !known {
		return hosts
	}
	out := make([]core.Host, 0, len(hosts))
	for _, host := range hosts {
		if host.Role != core.RoleAgent || string(host.ID) == viewer {
			out = append(out, host)
			continue
		}
		if seen, ok := l.through(viewer, region, host); ok {
			out = append(out, seen)
		}
	}
	return out
}

// through returns host with the addresses of the viewer's relays to it; the caller holds the lock.
func (l *links) through(viewer string, region core.Region, host core.Host) (core.Host, bool) {
	data := link.Config{Target: host.DataAddr, Limits: []*rate.Limiter{l.limit("up " + string(host.ID))}}
	if !l.perRegion {
		data.Limits = append(data.Limits, l.limit("down "+viewer))
	}
	l.crossing(&data, region, host.Region)
	relay, err := l.relay(viewer+" data "+string(host.ID), data)
	if err != nil {
		return host, false
	}
	host.DataAddr = relay.Addr()
	if host.Region == region {
		return host, true
	}
	relay, err = l.relay(viewer+" control "+string(host.ID), link.Config{Target: host.ControlAddr, Delay: l.regionDelay})
	if err != nil {
		return host, false
	}
	host.ControlAddr = relay.Addr()
	return host, true
}

// crossing adds the delay and the counter of a link between regions.
func (l *links) crossing(cfg *link.Config, a, b core.Region) {
	if a != b {
		cfg.Delay = l.regionDelay
		cfg.Counters = []*atomic.Int64{&l.cross}
	}
}

func (l *links) limit(name string) *rate.Limiter {
	if l.limits[name] == nil {
		l.limits[name] = link.NewLimiter(l.hostRate)
	}
	return l.limits[name]
}

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
	defer l.mu.Unlock()
	var wg sync.WaitGroup
	for _, relay := range l.relays {
		wg.Go(relay.Close)
	}
	wg.Wait()
}
