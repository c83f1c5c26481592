package weights

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/upstream"
)

const (
	// uploadRetryAfterSeconds is the Retry-After value for clients other than agents when all upload slots are in
	// use.
	uploadRetryAfterSeconds = "1"
	// headerRetryAfterMillis carries the time in milliseconds after which an upload slot is likely to be free.
	headerRetryAfterMillis = "Gt-Retry-After-Ms"
	// minUploadRetryAfter and maxUploadRetryAfter bound that time.
	minUploadRetryAfter = 100 * time.Millisecond
	maxUploadRetryAfter = time.Second
)

// ChunkHandler serves GET /chunks/{digest}/{index}.
type ChunkHandler struct {
	chunks      *table.Chunks
	limits      *Limits
	isWithdrawn func(core.Digest) bool
	listener    upstream.PeerListener
	slots       chan struct{}
	sendTimeout time.Duration
}

// NewChunkHandler returns a ChunkHandler that sends up to slots chunks at once, each within sendTimeout.
func NewChunkHandler(chunks *table.Chunks, limits *Limits, isWithdrawn func(core.Digest) bool, slots int, sendTimeout time.Duration) *ChunkHandler {
	return &ChunkHandler{
		chunks: chunks, limits: limits, isWithdrawn: isWithdrawn,
		slots: make(chan struct{}, slots), sendTimeout: sendTimeout,
	}
}

// SetPeerListener makes the handler report to l the chunks that requesting hosts hold. It must be called before the
// handler is used.
func (h *ChunkHandler) SetPeerListener(l upstream.PeerListener) { h.listener = l }

// ServeHTTP implements http.Handler.
func (h *ChunkHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.PathValue("index"))
	if err != nil {
		http.Error(w, "chunk index is not a number", http.StatusBadRequest)
		return
	}
	digest := core.Digest(r.PathValue("digest"))
	if bitmap := decodeBitmap(r.Header); h.listener != nil && bitmap != nil {
		h.listener.PeerHolds(core.HostID(r.Header.Get(headerHost)), digest, bitmap)
	}
	data, ok := h.chunks.Get(digest, index)
	if !ok || h.isWithdrawn(digest) {
		http.Error(w, "chunk is not held", http.StatusNotFound)
		return
	}
	select {
	case h.slots <- struct{}{}:
		defer func() { <-h.slots }()
	default:
		w.Header().Set("Retry-After", uploadRetryAfterSeconds)
		w.Header().Set(headerRetryAfterMillis, strconv.FormatInt(h.slotRetryAfter(len(data)).Milliseconds(), 10))
		http.Error(w, "all upload slots are in use", http.StatusTooManyRequests)
		return
	}
	w.Header().Set(headerChunks, encodeBitmap(h.chunks.Bitmap(digest)))
	h.writePaced(w, r, data)
}

// slotRetryAfter returns the mean time until one of the busy slots finishes a chunk of n bytes, within its bounds.
func (h *ChunkHandler) slotRetryAfter(n int) time.Duration {
	return min(max(h.limits.UploadTime(int64(n)), minUploadRetryAfter), maxUploadRetryAfter)
}

// writePaced writes data at the rate that the limits allow. Its deadline frees the slot of a client that stops
// reading.
func (h *ChunkHandler) writePaced(w http.ResponseWriter, r *http.Request, data []byte) {
	ctx, cancel := context.WithTimeout(r.Context(), h.sendTimeout)
	defer cancel()
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(h.sendTimeout))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	for len(data) > 0 {
		part := min(len(data), burstBytes)
		if h.limits.WaitUpload(ctx, int64(part)) != nil {
			return
		}
		if _, err := w.Write(data[:part]); err != nil {
			return
		}
		data = data[part:]
	}
}
