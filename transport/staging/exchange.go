package staging

import (
	"encoding/base64"
	"net"
	"net/http"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// trackFetch makes a fetch known to recordPeer until the returned function is called.
func (a *Agent) trackFetch(r *versionFetch) (stop func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running == nil {
		a.running = map[target]*versionFetch{}
	}
	a.running[r.target] = r
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.running[r.target] == r {
			delete(a.running, r.target)
		}
	}
}

// recordPeer passes what a peer holds, as its request states, to the fetch of the version. It drops the news if the fetch has many
// results to handle.
func (a *Agent) recordPeer(t target, address string, held transfer.Bitmap) {
	a.mu.Lock()
	r := a.running[t]
	a.mu.Unlock()
	if r == nil {
		return
	}
	select {
	case r.events <- func(now time.Time) { r.plan.HandlePeerBitmap(now, core.HostID(address), held) }:
	default:
	}
}

// hear records what the sender of a request holds.
func (s *peerServer) hear(r *http.Request, t target) {
	encoded := r.Header.Get(headerHeld)
	address, _, err := net.SplitHostPort(r.RemoteAddr)
	if encoded == "" || err != nil || s.heard == nil {
		return
	}
	if held, err := base64.StdEncoding.DecodeString(encoded); err == nil {
		s.heard(t, address, held)
	}
}
