package rolloutsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	// reportInterval is the time between two steps of an agent that waits for its turn to load.
	reportInterval = 200 * time.Millisecond
	// planInterval is the longest time between two steps of the plan of a fetch.
	planInterval = 50 * time.Millisecond
	// stageTime is the time to check a piece and to stage it at the worker.
	stageTime = 3 * time.Millisecond
	// stageAllTime is the time to stage the pieces of a version that are held in memory.
	stageAllTime = 150 * time.Millisecond
	// orderTime is the time to verify the staged pieces, to notify the entry hosts and to send an order.
	orderTime = 200 * time.Millisecond
	// loadTime is the time without service of a load: 0.3 s and the requests that still run.
	loadTime = time.Second
	// restartTime is the time in which an agent restarts.
	restartTime = time.Second
)

// host is an agent and its worker.
type host struct {
	*sim
	index    int
	self     core.Host
	region   int
	up, down *link
	random   *rand.Rand

	downUntil time.Duration
	// pieces holds the pieces in memory by version; opened lists the versions in the order in which they were opened.
	pieces    map[int64][]bool
	opened    []int64
	manifests map[int64]bool
	// asked is the time of the first request for a manifest.
	asked   map[int64]time.Duration
	fetches map[int64]*fetch
	// staging is the version whose pieces the staging area has, staged the one that is staged completely, since stagedAt.
	staging, staged int64
	stagedAt        time.Duration
	// readyFor is the version that is to be loaded since readyAt.
	readyFor int64
	readyAt  time.Time

	loaded, loadingTo int64
	loadingUntil      time.Duration

	chosen   int64
	supplies map[int64]rollout.Supply
	// originFailedAt is the time of the first failed request to the origin since it answered; negative if it answers.
	originFailedAt time.Duration
	uploads        *transfer.UploadSlots
	limiter        *transfer.FetchLimiter
	active         int
	waiting        []func()
}

func newHost(s *sim, index int) *host {
	region := index % regionCount
	id := core.HostID(fmt.Sprintf("10.0.%d.%d", region, index))
	return &host{
		sim: s, index: index, region: region,
		self: core.Host{
			ID: id, Role: core.RoleAgent, Upstream: "llm", State: core.HostLive, Incarnation: "1",
			Region: regionName(region), FailureDomain: core.FailureDomain(regionName(region)), DataAddr: string(id),
		},
		up:     &link{bytesPerSecond: s.d.HostBytesPerSecond * s.p.UploadShare},
		down:   &link{bytesPerSecond: s.d.HostBytesPerSecond},
		random: rand.New(rand.NewPCG(s.sc.Seed, uint64(index))),
		pieces: map[int64][]bool{}, manifests: map[int64]bool{}, asked: map[int64]time.Duration{}, fetches: map[int64]*fetch{},
		loaded: 1, staged: 1, supplies: map[int64]rollout.Supply{}, originFailedAt: -1,
		uploads: transfer.NewUploadSlots(s.p.Transfer.UploadSlots, s.p.CrossRegionSlots),
		limiter: transfer.NewFetchLimiter(s.p.Transfer.DownloadSlots),
	}
}

// view returns the wanted versions that the host has heard of.
func (h *host) view() fleet.Wanted {
	delay := time.Duration(0)
	if h.sc.NewsDelay != nil {
		delay = h.sc.NewsDelay(h.index)
	}
	return h.wantedAt(h.net.now - delay)
}

func (h *host) choice() rollout.Choice {
	wanted := h.view()
	if len(wanted) == 0 {
		return rollout.Choice{}
	}
	progress := rollout.Progress{Loaded: max(h.loaded, h.loadingTo), Staged: h.staged, Chosen: h.chosen, Links: h.d.Links()}
	if away := h.net.now - h.originFailedAt; h.originFailedAt >= 0 && away >= 250*time.Millisecond {
		progress.Links.OriginAwayFor = away
	}
	for _, w := range wanted {
		if supply, ok := h.supplies[w.Version]; ok {
			progress.Supplies = append(progress.Supplies, supply)
		}
	}
	return h.p.Next(h.p.Rollout, h.time(), wanted, progress)
}

// step starts and ends fetches, and loads a staged version when its time has come.
func (h *host) step() {
	if h.net.now < h.downUntil {
		return
	}
	choice := h.choice()
	h.chosen = choice.Version
	for version, f := range h.fetches {
		if memoryOnly := version != choice.Version; memoryOnly != f.memoryOnly || memoryOnly && version != choice.Ahead {
			f.end()
		}
	}
	if version := choice.Version; version > max(h.loaded, h.loadingTo) {
		switch {
		case !h.complete(version):
			h.staging = version
			h.ensureFetch(version)
		case h.staged != version:
			h.stageAll(version)
		case choice.Load:
			h.loadIfDue(version)
		}
	}
	if choice.Ahead != 0 && !h.complete(choice.Ahead) {
		h.ensureFetch(choice.Ahead)
	}
}

// stageAll stages a version that is held in memory; its pieces were mostly staged as they arrived if it was the chosen one.
func (h *host) stageAll(version int64) {
	delay := h.p.LoadPause
	if h.staging != version {
		delay += stageAllTime
	}
	h.staging, h.staged = version, 0
	h.downUntilAfter(delay, func() {
		h.staged, h.stagedAt = version, h.net.now
		h.step()
	})
}

// downUntilAfter runs the next step of the agent after a delay in which it does nothing else.
func (h *host) downUntilAfter(delay time.Duration, run func()) {
	h.downUntil = h.net.now + delay
	h.net.after(delay, run)
}

func (h *host) loadIfDue(version int64) {
	if h.readyFor != version {
		h.readyFor, h.readyAt = version, h.time()
	}
	wanted := h.view()
	at := h.p.EarliestLoad(EarliestLoadInput{
		Config: h.p.Rollout, Wanted: wanted, Loaded: h.loaded, Version: version, ReadyAt: h.readyAt,
		Members: h.members, Address: string(h.self.ID) + ":80",
	})
	if h.loadingTo > h.loaded || h.time().Before(at) {
		return
	}
	h.result.Orders++
	pending, _ := wanted.Pending(h.loaded)
	bound := pending.Since.Add(h.p.Rollout.ActivationDelay)
	if h.at(h.stagedAt).Add(reportInterval).Before(bound) && h.time().After(bound) {
		h.result.LateOrders++
	}
	h.loadingTo = version
	h.loadingUntil = h.net.now + orderTime + loadTime
	h.net.after(orderTime+loadTime, func() {
		h.loaded = version
		h.result.LoadedAt[version] = h.net.now
		h.step()
	})
}

// serves reports whether the replica may serve new requests.
func (h *host) serves(wanted fleet.Wanted) bool {
	if h.net.now < h.loadingUntil && h.net.now >= h.loadingUntil-loadTime {
		return false
	}
	pending, ok := wanted.Pending(h.loaded)
	return !ok || h.time().Before(pending.Since.Add(h.p.Rollout.ActivationDelay))
}

func (h *host) complete(version int64) bool {
	held, ok := h.pieces[version]
	return ok && count(held) == len(held)
}

// open makes room for the pieces of a version. As in transport/staging, the one in the staging area is kept if more than one is.
func (h *host) open(version int64) {
	if _, ok := h.pieces[version]; ok {
		return
	}
	h.pieces[version] = make([]bool, h.d.Pieces)
	h.opened = append(h.opened, version)
	for len(h.opened) > h.p.KeepVersions {
		remove := 0
		if h.opened[0] == h.staging && h.p.KeepVersions > 1 {
			remove = 1
		}
		delete(h.pieces, h.opened[remove])
		delete(h.manifests, h.opened[remove])
		delete(h.asked, h.opened[remove])
		h.opened = slices.Delete(h.opened, remove, remove+1)
	}
}

// restart ends the agent. Its successor reads the pieces in the staging area back.
func (h *host) restart() {
	for _, f := range h.fetches {
		f.end()
	}
	kept := h.pieces[h.staging]
	h.pieces, h.opened, h.manifests, h.asked = map[int64][]bool{}, nil, map[int64]bool{}, map[int64]time.Duration{}
	if kept != nil {
		h.open(h.staging)
		copy(h.pieces[h.staging], kept)
	}
	h.supplies, h.originFailedAt = map[int64]rollout.Supply{}, -1
	h.self.Incarnation = "2"
	h.downUntil = h.net.now + restartTime
}

func count(held []bool) int {
	total := 0
	for _, has := range held {
		if has {
			total++
		}
	}
	return total
}

func bitmapOf(held []bool) transfer.Bitmap {
	bitmap := make(transfer.Bitmap, (len(held)+7)/8)
	for i, has := range held {
		if has {
			bitmap[i/8] |= 1 << (i % 8)
		}
	}
	return bitmap
}
