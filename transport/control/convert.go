package control

import (
	"github.com/guavatrestle/guavatrestle/coordination/membership"
	"github.com/guavatrestle/guavatrestle/coordination/merge"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

func documentsToWire(documents []settings.Document) []*wire.Document {
	out := make([]*wire.Document, 0, len(documents))
	for _, d := range documents {
		out = append(out, &wire.Document{Path: d.Path, Version: d.Version, Tombstone: d.Tombstone, Body: d.Body})
	}
	return out
}

func documentsFromWire(documents []*wire.Document) []settings.Document {
	out := make([]settings.Document, 0, len(documents))
	for _, d := range documents {
		out = append(out, settings.Document{
			Path: d.GetPath(), Version: d.GetVersion(), Tombstone: d.GetTombstone(), Body: d.GetBody(),
		})
	}
	return out
}

func versionsToWire(items []merge.Item) []*wire.PathVersion {
	out := make([]*wire.PathVersion, 0, len(items))
	for _, item := range items {
		out = append(out, &wire.PathVersion{Path: item.Key, Version: item.Version})
	}
	return out
}

func versionsFromWire(versions []*wire.PathVersion) []merge.Item {
	out := make([]merge.Item, 0, len(versions))
	for _, v := range versions {
		out = append(out, merge.Item{Key: v.GetPath(), Version: v.GetVersion()})
	}
	return out
}

func stampsToWire(items []merge.Item) []*wire.MemberStamp {
	out := make([]*wire.MemberStamp, 0, len(items))
	for _, item := range items {
		out = append(out, &wire.MemberStamp{Host: item.Key, Stamp: item.Version})
	}
	return out
}

func stampsFromWire(stamps []*wire.MemberStamp) []merge.Item {
	out := make([]merge.Item, 0, len(stamps))
	for _, s := range stamps {
		out = append(out, merge.Item{Key: s.GetHost(), Version: s.GetStamp()})
	}
	return out
}

func recordsToWire(records []membership.Record) []*wire.MemberRecord {
	out := make([]*wire.MemberRecord, 0, len(records))
	for _, r := range records {
		out = append(out, &wire.MemberRecord{Host: hostToWire(r.Host), Stamp: r.Stamp, Gone: r.Gone})
	}
	return out
}

func recordsFromWire(records []*wire.MemberRecord) []membership.Record {
	out := make([]membership.Record, 0, len(records))
	for _, r := range records {
		out = append(out, membership.Record{Host: hostFromWire(r.GetHost()), Stamp: r.GetStamp(), Gone: r.GetGone()})
	}
	return out
}

func hostToWire(h core.Host) *wire.Host {
	return &wire.Host{
		Id: string(h.ID), Incarnation: string(h.Incarnation), Role: string(h.Role), Region: string(h.Region),
		FailureDomain: string(h.FailureDomain), Upstream: string(h.Upstream), Model: string(h.Model),
		ControlAddr: h.ControlAddr, DataAddr: h.DataAddr, State: string(h.State),
	}
}

func hostFromWire(h *wire.Host) core.Host {
	return core.Host{
		ID: core.HostID(h.GetId()), Incarnation: core.Incarnation(h.GetIncarnation()), Role: core.Role(h.GetRole()),
		Region: core.Region(h.GetRegion()), FailureDomain: core.FailureDomain(h.GetFailureDomain()),
		Upstream: core.Upstream(h.GetUpstream()), Model: core.Model(h.GetModel()),
		ControlAddr: h.GetControlAddr(), DataAddr: h.GetDataAddr(), State: core.HostState(h.GetState()),
	}
}
