package rolloutsim

import (
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
)

// askManifest requests the manifest of a version from the origin or, as the parent in the tree gets it, from there.
func (h *host) askManifest(version int64, attempt int) {
	if _, asked := h.asked[version]; asked && attempt == 0 {
		return
	}
	if attempt == 0 {
		h.asked[version] = h.net.now
	}
	if parent := h.parent(version); parent != nil && parent.manifests[version] && h.reachable(h.region, parent.region) {
		h.fetchManifest(parent, version)
		return
	}
	waited := h.net.now - h.asked[version]
	if h.p.ManifestsFromPeers && !transfer.ManifestReader(h.p.Transfer, h.self, h.list, versionKey(version), waited) {
		h.net.after(probeCap, func() { h.askAgain(version, attempt) })
		return
	}
	h.requestOrigin(h, float64(h.d.Pieces*manifestBytesPerPiece), func(ok, _ bool) {
		switch {
		case ok && h.p.ManifestsFromPeers:
			// The second read, which must agree.
			h.requestOrigin(h, float64(h.d.Pieces*manifestBytesPerPiece), func(bool, bool) { h.gotManifest(version) })
		case ok:
			h.gotManifest(version)
		default:
			h.askAgainAfter(version, attempt)
		}
	})
}

func (h *host) askAgainAfter(version int64, attempt int) {
	if h.originFailedAt < 0 {
		h.originFailedAt = h.net.now
	}
	pause := h.p.RetryPause
	if h.p.ManifestsFromPeers {
		pause = min(probeBase<<min(attempt, 4), probeCap)
		pause = pause/2 + time.Duration(h.random.Int64N(int64(pause/2)))
	}
	h.net.after(pause, func() { h.askAgain(version, attempt) })
}

// askAgain repeats a request unless the manifest has come or the version is no longer wanted.
func (h *host) askAgain(version int64, attempt int) {
	if _, asked := h.asked[version]; !asked || h.manifests[version] {
		return
	}
	if choice := h.choice(); choice.Version != version && choice.Ahead != version {
		delete(h.asked, version)
		return
	}
	h.askManifest(version, attempt+1)
}

func (h *host) parent(version int64) *host {
	if !h.p.ManifestsFromPeers {
		return nil
	}
	peers := transfer.ManifestPeers(h.p.Transfer, h.self, h.list, versionKey(version), 0)
	return h.byID(peers[0].ID)
}

func (h *host) fetchManifest(from *host, version int64) {
	cut := func() bool { return !h.reachable(h.region, from.region) }
	h.net.send(float64(h.d.Pieces*manifestBytesPerPiece), h.path(from.up, from.region, h), cut, func(ok bool) {
		if ok {
			h.net.after(2*h.delay(h.region, from.region), func() { h.gotManifest(version) })
		}
	})
}

// gotManifest starts the fetch of a version and sends the manifest to the peers that wait for it.
func (h *host) gotManifest(version int64) {
	if h.manifests[version] {
		return
	}
	h.manifests[version] = true
	h.originFailedAt = -1
	h.step()
	if !h.p.ManifestsFromPeers {
		return
	}
	for _, other := range h.hosts {
		if _, asked := other.asked[version]; asked && !other.manifests[version] && other.parent(version) == h {
			other.fetchManifest(h, version)
		}
	}
}
