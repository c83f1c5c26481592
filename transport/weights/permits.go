package weights

import (
	"context"
	"encoding/json"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/activation"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// permitAttempts bounds the tries of one change that meets conflicting writes.
	permitAttempts = 4
	// labelUpstream is the label with the upstream's name.
	labelUpstream = "upstream"
)

// Permits keeps the leases of one upstream in one failure domain in a Permit object. It is not
// safe for concurrent use.
type Permits struct {
	store    platform.ObjectStore
	host     core.Host
	ttl      time.Duration
	observer *activation.Observer
	nonce    func() string
	now      func() time.Time
}

// NewPermits returns the permits of the upstream and failure domain of host; nonce returns a new
// unique string with each call.
func NewPermits(store platform.ObjectStore, host core.Host, ttl time.Duration, nonce func() string, now func() time.Time) *Permits {
	return &Permits{
		store: store, host: host, ttl: ttl, observer: activation.NewObserver(ttl), nonce: nonce, now: now,
	}
}

// errNoLease says that the permit has no lease for this host.
var errNoLease = protocol.Errorf(protocol.CodeConflict, "the lease is not in the permit")

// Acquire takes a lease for a version; it reports false while limit other leases are held.
func (p *Permits) Acquire(ctx context.Context, digest core.Digest, limit int) (activation.HeldLease, bool, error) {
	want := activation.Lease{
		Host: p.host.ID, Incarnation: p.host.Incarnation, Nonce: p.nonce(), Digest: digest,
	}
	free := true
	var others []core.HostID
	holding, err := p.change(ctx, func(permit activation.Permit) (activation.Permit, activation.Lease, bool) {
		next, lease, ok := p.observer.Acquire(p.now(), permit, want, limit)
		free = ok
		others = nil
		for _, held := range next.Leases {
			if held.Nonce != want.Nonce {
				others = append(others, held.Host)
			}
		}
		return next, lease, ok
	})
	holding.OtherHolders = others
	if !free {
		return activation.HeldLease{}, false, nil
	}
	return holding, err == nil, err
}

// Renew proves that the lease is still in the permit and extends it.
func (p *Permits) Renew(ctx context.Context, holding activation.HeldLease) (activation.HeldLease, error) {
	return p.change(ctx, func(permit activation.Permit) (activation.Permit, activation.Lease, bool) {
		return permit.Renew(holding.Lease.Nonce)
	})
}

// Release gives a lease back; a lease that is gone already is no error.
func (p *Permits) Release(ctx context.Context, holding activation.HeldLease) error {
	_, err := p.change(ctx, func(permit activation.Permit) (activation.Permit, activation.Lease, bool) {
		next, ok := permit.Release(holding.Lease.Nonce)
		return next, activation.Lease{}, ok
	})
	if err == errNoLease {
		return nil
	}
	return err
}

// change applies a change to the permit by conditional update, and again after a conflict.
func (p *Permits) change(ctx context.Context, apply func(activation.Permit) (activation.Permit, activation.Lease, bool)) (activation.HeldLease, error) {
	var err error
	for range permitAttempts {
		var object platform.Object
		var permit activation.Permit
		if object, permit, err = p.read(ctx); err != nil {
			return activation.HeldLease{}, err
		}
		next, lease, ok := apply(permit)
		if !ok {
			return activation.HeldLease{}, errNoLease
		}
		sent := p.now()
		err = p.write(ctx, object, next)
		switch protocol.CodeOf(err) {
		case protocol.CodeConflict:
			continue
		case protocol.CodeOutcomeUnknown:
			err = p.settle(ctx, lease, err)
		}
		if err != nil {
			return activation.HeldLease{}, err
		}
		return activation.NewHeldLease(lease, sent, p.ttl), nil
	}
	return activation.HeldLease{}, err
}

// settle finds out whether a write whose response was lost took effect, by the nonce and the
// number of renewals that it wrote.
func (p *Permits) settle(ctx context.Context, lease activation.Lease, cause error) error {
	if lease.Nonce == "" {
		return cause
	}
	_, permit, err := p.read(ctx)
	if err != nil {
		return cause
	}
	if found, ok := permit.Find(lease.Nonce); ok && found.Renewals == lease.Renewals {
		return nil
	}
	return cause
}

func (p *Permits) read(ctx context.Context) (platform.Object, activation.Permit, error) {
	name := string(p.host.Upstream) + "." + string(p.host.FailureDomain)
	object, err := p.store.Get(ctx, platform.KindPermit, name)
	if protocol.CodeOf(err) == protocol.CodeNotFound {
		labels := map[string]string{labelUpstream: string(p.host.Upstream)}
		return platform.Object{Kind: platform.KindPermit, Name: name, Labels: labels}, activation.Permit{}, nil
	}
	if err != nil {
		return object, activation.Permit{}, err
	}
	var permit activation.Permit
	if err := json.Unmarshal(object.Spec, &permit); err != nil {
		return object, permit, protocol.Wrap(protocol.CodeMalformed, err, "decode permit "+name)
	}
	return object, permit, nil
}

func (p *Permits) write(ctx context.Context, object platform.Object, permit activation.Permit) error {
	spec, err := json.Marshal(permit)
	if err != nil {
		return protocol.Wrap(protocol.CodeMalformed, err, "encode permit "+object.Name)
	}
	object.Spec = spec
	if object.Version == "" {
		_, err = p.store.Create(ctx, object)
		return err
	}
	_, err = p.store.Update(ctx, object)
	return err
}
