package rolloutsim

import (
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// originSilence is the time without new pieces after which a host takes the origin for unavailable, as in transport/staging.
	originSilence = 700 * time.Millisecond
	// probeBase and probeCap bound the backoff of the hosts that read the manifest from the origin.
	probeBase = 40 * time.Millisecond
	probeCap  = 250 * time.Millisecond
)

// fetch is the fetch of one version by one host.
type fetch struct {
	*host
	version    int64
	plan       *transfer.Planner
	memoryOnly bool
	ended      bool
}

func versionKey(version int64) core.Digest { return core.Digest("m/" + string(rune('0'+version))) }

// ensureFetch starts the fetch of a version unless it runs.
func (h *host) ensureFetch(version int64) {
	if h.fetches[version] != nil {
		return
	}
	if !h.manifests[version] {
		h.askManifest(version, 0)
		return
	}
	h.open(version)
	cfg := h.p.Transfer
	f := &fetch{host: h, version: version, memoryOnly: version != h.chosen}
	if f.memoryOnly {
		cfg.DownloadSlots = max(cfg.DownloadSlots/2, 1)
	}
	target := transfer.Target{Digest: versionKey(version), Chunks: h.d.Pieces}
	f.plan = transfer.New(cfg, h.self, target, h.random, h.time())
	for index, held := range h.pieces[version] {
		if held {
			f.plan.MarkHeld(index)
		}
	}
	f.plan.SetHosts(h.list)
	h.fetches[version] = f
	f.tick()
}

func (f *fetch) end() {
	f.ended = true
	if f.fetches[f.version] == f {
		delete(f.fetches, f.version)
	}
}

func (f *fetch) tick() {
	if f.ended {
		return
	}
	f.pump()
	f.net.after(planInterval, f.tick)
}

// pump starts what the plan wants next.
func (f *fetch) pump() {
	if f.ended {
		return
	}
	f.noteSupply(f.version, f.plan.Missing(), f.plan.Absent(), f.plan.IdleFor(f.time()))
	if f.plan.Complete() {
		f.end()
		f.noteHeld(f.version)
		f.step()
		return
	}
	f.plan.AllowOrigin(!f.memoryOnly || f.choice().AheadOrigin)
	actions := f.plan.Step(f.time())
	for _, peer := range actions.Polls {
		f.poll(f.byID(peer.ID))
	}
	for _, next := range actions.Fetches {
		f.acquire(func() { f.start(next) })
	}
}

func (s *sim) byID(id core.HostID) *host {
	for _, h := range s.hosts {
		if h.self.ID == id {
			return h
		}
	}
	return nil
}

func (h *host) noteSupply(version int64, missing, absent int, idle time.Duration) {
	h.supplies[version] = rollout.Supply{Version: version, Missing: missing, Absent: absent}
	if absent > 0 && idle >= originSilence && h.originFailedAt < 0 {
		h.originFailedAt = h.net.now - idle
	}
}

func (f *fetch) poll(peer *host) {
	delay := f.delay(f.region, peer.region)
	f.result.Polls++
	if peer.region != f.region {
		f.result.CrossPolls++
	}
	if f.p.ExchangeHeld {
		own := bitmapOf(f.pieces[f.version])
		f.net.after(delay, func() {
			if other := peer.fetches[f.version]; other != nil && f.reachable(f.region, peer.region) {
				other.plan.HandlePeerBitmap(f.time(), f.self.ID, own)
				other.pump()
			}
		})
	}
	f.net.after(2*delay, func() {
		if f.ended {
			return
		}
		if !f.reachable(f.region, peer.region) || f.net.now < peer.downUntil && peer.staged == 0 {
			f.plan.HandlePollFailure(f.time(), peer.self.ID)
			return
		}
		f.plan.HandlePollResponse(f.time(), peer.self.ID, bitmapOf(peer.pieces[f.version]))
		f.pump()
	})
}

// acquire runs a function when a download slot is free.
func (h *host) acquire(run func()) {
	if h.active < h.limiter.Limit() {
		h.active++
		run()
		return
	}
	h.waiting = append(h.waiting, run)
}

// release frees a download slot.
func (h *host) release(took time.Duration, record bool) {
	h.active--
	if record {
		h.limiter.RecordDuration(took, time.Duration(float64(h.d.PieceBytes)/h.d.HostBytesPerSecond*float64(time.Second)))
	}
	h.net.after(h.p.ThrottlePoll/2, func() {
		for len(h.waiting) > 0 && h.active < h.limiter.Limit() {
			next := h.waiting[0]
			h.waiting = h.waiting[1:]
			h.active++
			next()
		}
	})
}

// start requests a piece.
func (f *fetch) start(next transfer.Fetch) {
	startedAt := f.net.now
	finish := func(outcome transfer.Outcome, retryAfter time.Duration, held transfer.Bitmap) {
		f.release(f.net.now-startedAt, !next.Source.IsOrigin() || f.p.ThrottleOrigin)
		if outcome != transfer.OutcomeHeld {
			f.finish(next, outcome, retryAfter, held)
			return
		}
		f.net.after(stageTime, func() { f.finish(next, outcome, 0, held) })
	}
	if f.ended {
		finish(transfer.OutcomeFailed, 0, nil)
		return
	}
	if !next.Source.IsOrigin() {
		f.requestPeer(f.byID(next.Source.Peer), next, finish)
		return
	}
	f.requestOrigin(f.host, float64(f.d.PieceBytes), func(ok, busy bool) {
		switch {
		case ok:
			f.originFailedAt = -1
			finish(transfer.OutcomeHeld, 0, nil)
		case busy:
			f.originFailedAt = -1
			finish(transfer.OutcomeBusy, 0, nil)
		default:
			if f.originFailedAt < 0 {
				f.originFailedAt = f.net.now
			}
			finish(transfer.OutcomeFailed, 0, nil)
		}
	})
}

func (f *fetch) requestPeer(peer *host, next transfer.Fetch, finish func(transfer.Outcome, time.Duration, transfer.Bitmap)) {
	delay := f.delay(f.region, peer.region)
	own := bitmapOf(f.pieces[f.version])
	f.net.after(delay, func() {
		cut := func() bool { return !f.reachable(f.region, peer.region) }
		answer := func(outcome transfer.Outcome, retryAfter time.Duration, held transfer.Bitmap) {
			f.net.after(delay, func() { finish(outcome, retryAfter, held) })
		}
		held := peer.pieces[f.version]
		switch {
		case cut():
			f.net.after(time.Second, func() { finish(transfer.OutcomeFailed, 0, nil) })
			return
		case held == nil || !held[next.Index]:
			answer(transfer.OutcomeMissing, 0, nil)
			return
		}
		if other := peer.fetches[f.version]; other != nil && f.p.ExchangeHeld {
			other.plan.HandlePeerBitmap(f.time(), f.self.ID, own)
		}
		if !peer.uploads.TryAcquire(next.CrossRegion) {
			f.result.Busy++
			answer(transfer.OutcomeBusy, peer.retryAfter(), f.exchanged(held))
			return
		}
		sent := bitmapOf(held)
		f.net.send(float64(f.d.PieceBytes), f.path(peer.up, peer.region, f.host), cut, func(ok bool) {
			peer.uploads.Release()
			if !ok {
				answer(transfer.OutcomeFailed, 0, nil)
				return
			}
			answer(transfer.OutcomeHeld, 0, sent)
		})
	})
}

// exchanged returns the bitmap that a refusal carries.
func (f *fetch) exchanged(held []bool) transfer.Bitmap {
	if !f.p.ExchangeHeld {
		return nil
	}
	return bitmapOf(held)
}

// retryAfter returns when a peer expects a free upload slot.
func (h *host) retryAfter() time.Duration {
	if !h.p.BusyRetryAfter {
		return 0
	}
	return transfer.BusyDelay(h.d.PieceBytes, h.up.bytesPerSecond)
}

func (f *fetch) finish(next transfer.Fetch, outcome transfer.Outcome, retryAfter time.Duration, held transfer.Bitmap) {
	if f.net.now < f.downUntil && f.ended {
		return
	}
	if pieces := f.pieces[f.version]; outcome == transfer.OutcomeHeld && pieces != nil {
		pieces[next.Index] = true
	}
	if f.ended {
		return
	}
	if held != nil {
		f.plan.HandlePollResponse(f.time(), next.Source.Peer, held)
	}
	f.plan.HandleResult(f.time(), transfer.Result{Fetch: next, Outcome: outcome, RetryAfter: retryAfter})
	f.pump()
}
