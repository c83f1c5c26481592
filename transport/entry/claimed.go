package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/claims"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/transport"
	claimlog "github.com/guavatrestle/guavatrestle/transport/claims"
)

const (
	// settleTimeout bounds the time that a response waits until its result is recorded.
	settleTimeout = 2 * time.Second
	// settleTries bounds the tries to record a result after the first one failed.
	settleTries = 20
	// storeRetryAfter is the time after which the object API may answer again.
	storeRetryAfter = 5 * time.Second
	// inProgressRetryAfter is the time after which a call in progress may have a result.
	inProgressRetryAfter = 2 * time.Second
	// headerReplayed marks a response that was recorded earlier.
	headerReplayed = "Idempotent-Replayed"
)

// Claims makes and settles claims for idempotency keys.
type Claims interface {
	// NewClaim returns the record of a new claim.
	NewClaim(key claims.Key, fingerprint string, deadline time.Time) claims.Record
	// Claim makes a claim; after an error the call must not be sent.
	Claim(ctx context.Context, claim claims.Record) (claims.Outcome, claims.Result, error)
	// Settle records how a claimed call ended.
	Settle(ctx context.Context, claim claims.Record, op claims.Op, result *claims.Result) error
}

// runClaimed runs a call at most once for its idempotency key.
func (h *Handler) runClaimed(w http.ResponseWriter, r *http.Request, c call) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	key := claimlog.KeyOf(c.team, c.route.Upstream, c.key)
	claim := h.claims.NewClaim(key, claimlog.FingerprintOf(c.method, c.path, c.contentType, c.body), c.deadline)
	outcome, result, err := h.claims.Claim(ctx, claim)
	if ctx.Err() != nil && outcome != claims.Granted {
		transport.WriteError(w, c.id, waitError(ctx))
		return
	}
	if err != nil {
		transport.WriteError(w, c.id, transport.Errorf(http.StatusServiceUnavailable, api.CodeStoreUnavailable, api.RunNotRun,
			"claim the idempotency key: %v", err).WithRetryAfter(storeRetryAfter))
		return
	}
	switch outcome {
	case claims.Granted:
		c.claimed = true
		h.runGranted(ctx, w, c, claim)
	case claims.Done:
		replay(w, c, result)
	default:
		transport.WriteError(w, c.id, claimError(outcome))
	}
}

// runGranted runs a call whose claim is held and settles the claim before the caller gets the answer.
func (h *Handler) runGranted(ctx context.Context, w http.ResponseWriter, c call, claim claims.Record) {
	settled := false
	out := &callerResponse{w: w, maxBuffer: h.tuning.MaxBufferedBytes}
	out.beforeSend = func(whole recorded) {
		settled = true
		h.settle(ctx, c, claim, claims.OpDone, &claims.Result{Status: whole.status, ContentType: whole.contentType, Body: whole.body})
	}
	err := h.forward(ctx, out, c)
	switch {
	case settled:
	case err == nil:
		h.settle(ctx, c, claim, claims.OpDone, &claims.Result{Status: int(out.head.GetStatus()), BodyOmitted: true})
	case asError(err).Run == api.RunNotRun && !out.started():
		h.settle(ctx, c, claim, claims.OpRelease, nil)
	default:
		h.settle(ctx, c, claim, claims.OpUnknown, nil)
	}
	h.respond(out, c, err)
}

// settle records the end of a call even when the caller has gone. The caller's answer waits for the first try only;
// further tries go on without it. A claim that is never settled becomes outcome_unknown once the holder's deadline has
// passed.
func (h *Handler) settle(ctx context.Context, c call, claim claims.Record, op claims.Op, result *claims.Result) {
	first, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	err := h.claims.Settle(first, claim, op, result)
	if err == nil {
		return
	}
	h.log.WithField("request", c.id).WithField("team", c.team).WithField("settle", op).WithError(err).Warn("claim not settled")
	h.background.Go(func() { h.settleLater(claim, op, result) })
}

// settleLater goes on trying until the claim is settled, the handler closes or settleTries is reached.
func (h *Handler) settleLater(claim claims.Record, op claims.Op, result *claims.Result) {
	for range settleTries {
		timer := time.NewTimer(h.tuning.SettleRetryInterval)
		select {
		case <-h.closing.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		ctx, cancel := context.WithTimeout(h.closing, settleTimeout)
		err := h.claims.Settle(ctx, claim, op, result)
		cancel()
		if err == nil {
			return
		}
	}
}

// replay answers with a recorded result. A body that was not kept is not replaced by an empty one.
func replay(w http.ResponseWriter, c call, result claims.Result) {
	if result.BodyOmitted {
		transport.WriteError(w, c.id, transport.Errorf(http.StatusConflict, api.CodeConflict, api.RunDone,
			"the call ran with status %d; its response was too large to keep", result.Status))
		return
	}
	if result.ContentType != "" {
		w.Header().Set("Content-Type", result.ContentType)
	}
	w.Header().Set(headerReplayed, "true")
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body)
}

func claimError(outcome claims.Outcome) error {
	switch outcome {
	case claims.InProgress:
		return transport.Errorf(http.StatusConflict, api.CodeInProgress, api.RunUnknown,
			"a request with this idempotency key is in progress").WithRetryAfter(inProgressRetryAfter)
	case claims.Mismatch:
		return transport.Errorf(http.StatusUnprocessableEntity, api.CodeConflict, api.RunNotRun,
			"the idempotency key was used for a request with another content")
	default:
		return transport.Errorf(http.StatusConflict, api.CodeOutcomeUnknown, api.RunUnknown,
			"a request with this idempotency key may have run; it is not run again")
	}
}
