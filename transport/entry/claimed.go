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
	// settleTimeout bounds one attempt to record a result, and so the time that the response waits for it.
	settleTimeout = 2 * time.Second
	// maxSettleRetries bounds the further attempts to record a result after the first one failed.
	maxSettleRetries = 20
	// storeRetryAfter is the time after which the object API may respond again.
	storeRetryAfter = 5 * time.Second
	// inProgressRetryAfter is the time after which a call in progress may have a result.
	inProgressRetryAfter = 2 * time.Second
	// headerReplayed marks a response that replays a recorded result.
	headerReplayed = "Idempotent-Replayed"
)

// Claims makes and settles claims for idempotency keys.
type Claims interface {
	// NewClaim returns the record of a new claim.
	NewClaim(key claims.Key, fingerprint string, deadline time.Time) claims.Record
	// Claim requests the claim and returns its outcome; after an error the call must not be sent.
	Claim(ctx context.Context, claim claims.Record) (claims.Outcome, claims.Result, error)
	// Settle records how a claimed call ended.
	Settle(ctx context.Context, claim claims.Record, op claims.Op, result *claims.Result) error
}

// runClaimed sends a call only if its idempotency key can be claimed, so that it runs at most once for its key.
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
		replayResult(w, c, result)
	default:
		transport.WriteError(w, c.id, claimError(outcome))
	}
}

// runGranted sends a call whose claim was granted and settles the claim before the caller gets the response. A response
// larger than the buffer is streamed, so its claim is settled afterwards and without its body.
func (h *Handler) runGranted(ctx context.Context, w http.ResponseWriter, c call, claim claims.Record) {
	settled := false
	out := &callerResponse{w: w, maxBufferBytes: h.tuning.MaxBufferedBytes}
	out.beforeSend = func(response recordedResponse) {
		settled = true
		h.settle(ctx, c, claim, claims.OpDone, &claims.Result{Status: response.status, ContentType: response.contentType, Body: response.body})
	}
	err := h.forward(ctx, out, c)
	switch {
	case settled:
	case err == nil:
		h.settle(ctx, c, claim, claims.OpDone, &claims.Result{Status: int(out.head.GetStatus()), BodyOmitted: true})
	case toError(err).Run == api.RunNotRun && !out.started():
		h.settle(ctx, c, claim, claims.OpRelease, nil)
	default:
		h.settle(ctx, c, claim, claims.OpUnknown, nil)
	}
	h.respondError(out, c, err)
}

// settle records the result of a call even after the caller disconnected. The response waits for the first attempt only;
// further attempts run in the background. A claim that is never settled becomes outcome_unknown once the holder's
// deadline has passed.
func (h *Handler) settle(ctx context.Context, c call, claim claims.Record, op claims.Op, result *claims.Result) {
	firstCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	err := h.claims.Settle(firstCtx, claim, op, result)
	if err == nil {
		return
	}
	h.log.WithField("request", c.id).WithField("team", c.team).WithField("settle", op).WithError(err).Warn("failed to settle the claim; retrying in the background")
	h.background.Go(func() { h.retrySettle(claim, op, result) })
}

// retrySettle retries until the claim is settled, the handler closes or maxSettleRetries is reached.
func (h *Handler) retrySettle(claim claims.Record, op claims.Op, result *claims.Result) {
	for range maxSettleRetries {
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

// replayResult responds with a recorded result. A result whose body was not recorded gives an error instead of an empty
// body.
func replayResult(w http.ResponseWriter, c call, result claims.Result) {
	if result.BodyOmitted {
		transport.WriteError(w, c.id, transport.Errorf(http.StatusConflict, api.CodeConflict, api.RunDone,
			"the call ran with status %d; its response was too large to be recorded", result.Status))
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
			"the idempotency key was used for a request with different content")
	default:
		return transport.Errorf(http.StatusConflict, api.CodeOutcomeUnknown, api.RunUnknown,
			"an earlier request with this idempotency key may have run, so this one was not run")
	}
}
