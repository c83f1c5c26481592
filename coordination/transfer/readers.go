package transfer

import (
	"maps"
	"slices"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// chooseReaders returns the hosts that bring chunks into their regions before all others: those of each region that rank first for the
// version.
func (p *Planner) chooseReaders() map[core.HostID]bool {
	readers := map[core.HostID]bool{}
	if p.cfg.OriginReaders <= 0 {
		return readers
	}
	byRegion := map[core.Region][]core.HostID{p.self.Region: {p.self.ID}}
	for _, host := range p.hosts {
		byRegion[host.Region] = append(byRegion[host.Region], host.ID)
	}
	chosen := map[core.Region][]core.HostID{}
	for region, ids := range byRegion {
		sortBy(ids, func(a, b core.HostID) bool { return ranksBefore(p.target.Digest, readerIndex, a, b) })
		chosen[region] = ids[:min(len(ids), p.cfg.OriginReaders)]
		for _, id := range chosen[region] {
			readers[id] = true
		}
	}
	if !maps.Equal(readers, p.readers) {
		p.importers = p.assignImporters(chosen)
	}
	return readers
}

// assignImporters returns, for each region, the reader that brings each chunk into it. All have about the same number of chunks: with the
// highest ranked reader of each chunk some had half as many again as others, and the origin's link idled while they fetched the last ones.
func (p *Planner) assignImporters(readers map[core.Region][]core.HostID) map[core.Region][]core.HostID {
	importers := make(map[core.Region][]core.HostID, len(readers))
	for region, ids := range readers {
		limit := (p.target.Chunks + len(ids) - 1) / len(ids)
		load := make(map[core.HostID]int, len(ids))
		for index := range p.target.Chunks {
			best := core.HostID("")
			for _, id := range ids {
				if load[id] < limit && (best == "" || ranksBefore(p.target.Digest, index, id, best)) {
					best = id
				}
			}
			load[best]++
			importers[region] = append(importers[region], best)
		}
	}
	return importers
}

// imports reports whether a host is the one that brings a chunk into its region.
func (p *Planner) imports(index int, host core.Host) bool {
	importers := p.importers[host.Region]
	return index >= 0 && index < len(importers) && importers[index] == host.ID
}

// importsBeforeSelf reports whether a host of the same region, or one of another with the same distance to the origin, brings a chunk into
// its region before this host, whose score is ownScore.
func (p *Planner) importsBeforeSelf(index int, host core.Host, ownScore uint64) bool {
	if imports := p.imports(index, host); imports != p.imports(index, p.self) {
		return imports
	}
	if reader := p.readers[host.ID]; reader != p.readers[p.self.ID] {
		return reader
	}
	return p.outranksSelf(index, host, ownScore)
}

// importTier orders hosts by how early they fetch a chunk from the origin, the first ones lowest.
func (p *Planner) importTier(index int, host core.Host) int {
	tier := 0
	if host.Region != p.cfg.OriginRegion {
		tier += 3
	}
	switch {
	case p.cfg.OriginReaders <= 0, p.imports(index, host):
		return tier
	case p.readers[host.ID]:
		return tier + 1
	}
	return tier + 2
}

// announceGain chooses the peers to poll because of a new chunk: some of the own region, and for a chunk from the origin the hosts that
// bring it into the other regions.
func (p *Planner) announceGain(fetch Fetch) {
	if p.cfg.GainPolls <= 0 {
		return
	}
	var near []core.HostID
	regions := map[core.Region]bool{p.self.Region: true}
	for _, host := range p.hosts {
		if host.Region == p.self.Region {
			if remote := p.peers[host.ID]; !remote.held.Has(fetch.Index) {
				near = append(near, host.ID)
			}
			continue
		}
		if !fetch.Source.IsOrigin() || regions[host.Region] {
			continue
		}
		regions[host.Region] = true
		if id, ok := p.highestRanked(fetch.Index, func(h core.Host) bool { return h.Region == host.Region }); ok {
			p.gainPolls = append(p.gainPolls, id)
		}
	}
	p.random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	p.gainPolls = append(p.gainPolls, near[:min(len(near), p.cfg.GainPolls)]...)
}

// dueGainPolls returns the peers to poll because of new chunks that are not being polled, and forgets them.
func (p *Planner) dueGainPolls() []core.HostID {
	var due []core.HostID
	for _, id := range p.gainPolls {
		if remote := p.peers[id]; remote != nil && !remote.pollInFlight && !slices.Contains(due, id) {
			due = append(due, id)
		}
	}
	p.gainPolls = p.gainPolls[:0]
	return due
}
