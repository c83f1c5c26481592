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
	// maxPermitAttempts bounds the attempts of one update of the permit while other writes conflict with it.
	maxPermitAttempts = 4
	// labelUpstream is the label that holds the upstream's name.
	labelUpstream = "upstream"
)

// Permits stores the leases of one upstream in one failure domain in a Permit object. It is not safe for concurrent
// use.
type Permits struct {
	store    platform.ObjectStore
	host     core.Host
	ttl      time.Duration
	observer *activation.Observer
	nonce    func() string
	now      func() time.Time
}

// NewPermits returns the Permits of the upstream and failure domain of host; nonce must return a new unique string
// with each call.
func NewPermits(store platform.ObjectStore, host core.Host, ttl time.Duration, nonce func() string, now func() time.Time) *Permits {
	return &Permits{
		store: store, host: host, ttl: ttl, observer: activation.NewObserver(ttl), nonce: nonce, now: now,
	}
}

// errLeaseNotFound is returned when the permit has no lease for this host.
var errLeaseNotFound = protocol.Errorf(protocol.CodeConflict, "lease is not in the permit")

// Acquire takes a lease for a version; it reports false while limit other leases are held.
func (p *Permits) Acquire(ctx context.Context, digest core.Digest, limit int) (activation.HeldLease, bool, error) {
	requested := activation.Lease{
		Host: p.host.ID, Incarnation: p.host.Incarnation, Nonce: p.nonce(), Digest: digest,
	}
	available := true
	var others []core.HostID
	heldLease, err := p.update(ctx, func(permit activation.Permit) (activation.Permit, activation.Lease, bool) {
		next, lease, ok := p.observer.Acquire(p.now(), permit, requested, limit)
		available = ok
		others = nil
		for _, other := range next.Leases {
			if other.Nonce != requested.Nonce {
				others = append(others, other.Host)
			}
		}
		return next, lease, ok
	})
	heldLease.OtherHolders = others
	if !available {
		return activation.HeldLease{}, false, nil
	}
	return heldLease, err == nil, err
}

// Renew extends a lease and thereby proves that it is still in the permit.
func (p *Permits) Renew(ctx context.Context, heldLease activation.HeldLease) (activation.HeldLease, error) {
	return p.update(ctx, func(permit activation.Permit) (activation.Permit, activation.Lease, bool) {
		return permit.Renew(heldLease.Lease.Nonce)
	})
}

// Release removes a lease from the permit; a lease that is already gone is no error.
func (p *Permits) Release(ctx context.Context, heldLease activation.HeldLease) error {
	_, err := p.update(ctx, func(permit activation.Permit) (activation.Permit, activation.Lease, bool) {
		next, ok := permit.Release(heldLease.Lease.Nonce)
		return next, activation.Lease{}, ok
	})
	if err == errLeaseNotFound {
		return nil
	}
	return err
}

// update applies a change to the permit by conditional update and retries it after a conflict.
func (p *Permits) update(ctx context.Context, apply func(activation.Permit) (activation.Permit, activation.Lease, bool)) (activation.HeldLease, error) {
	var err error
	for range maxPermitAttempts {
		var object platform.Object
		var permit activation.Permit
		if object, permit, err = p.readPermit(ctx); err != nil {
			return activation.HeldLease{}, err
		}
		next, lease, ok := apply(permit)
		if !ok {
			return activation.HeldLease{}, errLeaseNotFound
		}
		sentAt := p.now()
		err = p.writePermit(ctx, object, next)
		switch protocol.CodeOf(err) {
		case protocol.CodeConflict:
			continue
		case protocol.CodeOutcomeUnknown:
			err = p.resolveUnknown(ctx, lease, err)
		}
		if err != nil {
			return activation.HeldLease{}, err
		}
		return activation.NewHeldLease(lease, sentAt, p.ttl), nil
	}
	return activation.HeldLease{}, err
}

// resolveUnknown returns nil if a write whose response was lost took effect, and cause otherwise. It identifies the
// write by its nonce and renewal count.
func (p *Permits) resolveUnknown(ctx context.Context, lease activation.Lease, cause error) error {
	if lease.Nonce == "" {
		return cause
	}
	_, permit, err := p.readPermit(ctx)
	if err != nil {
		return cause
	}
	if found, ok := permit.Find(lease.Nonce); ok && found.Renewals == lease.Renewals {
		return nil
	}
	return cause
}

func (p *Permits) readPermit(ctx context.Context) (platform.Object, activation.Permit, error) {
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

func (p *Permits) writePermit(ctx context.Context, object platform.Object, permit activation.Permit) error {
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
