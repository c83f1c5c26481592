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
	// uploadRetryAfter is the pause in seconds that clients other than agents are asked for when all slots are taken.
	uploadRetryAfter = "1"
	// headerRetryMillis is the pause in milliseconds after which an upload slot is likely to be free.
	headerRetryMillis = "Gt-Retry-After-Ms"
	// minUploadPause and maxUploadPause bound that pause.
	minUploadPause = 100 * time.Millisecond
	maxUploadPause = time.Second
)

// ChunkHandler serves GET /chunks/{digest}/{index}.
type ChunkHandler struct {
	chunks    *table.Chunks
	limits    *Limits
	withdrawn func(core.Digest) bool
	peers     upstream.PeerListener
	slots     chan struct{}
	timeout   time.Duration
}

// NewChunkHandler returns a ChunkHandler that sends up to slots chunks at once, each within timeout.
func NewChunkHandler(chunks *table.Chunks, limits *Limits, withdrawn func(core.Digest) bool, slots int, timeout time.Duration) *ChunkHandler {
	return &ChunkHandler{
		chunks: chunks, limits: limits, withdrawn: withdrawn,
		slots: make(chan struct{}, slots), timeout: timeout,
	}
}

// SetPeerListener makes the handler pass on what the asking hosts hold; call it before the handler is used.
func (h *ChunkHandler) SetPeerListener(l upstream.PeerListener) { h.peers = l }

// ServeHTTP implements http.Handler.
func (h *ChunkHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.PathValue("index"))
	if err != nil {
		http.Error(w, "chunk index is not a number", http.StatusBadRequest)
		return
	}
	digest := core.Digest(r.PathValue("digest"))
	if bitmap := decodeBitmap(r.Header); h.peers != nil && bitmap != nil {
		h.peers.PeerHolds(core.HostID(r.Header.Get(headerHost)), digest, bitmap)
	}
	data, ok := h.chunks.Get(digest, index)
	if !ok || h.withdrawn(digest) {
		http.Error(w, "chunk is not held", http.StatusNotFound)
		return
	}
	select {
	case h.slots <- struct{}{}:
		defer func() { <-h.slots }()
	default:
		w.Header().Set("Retry-After", uploadRetryAfter)
		w.Header().Set(headerRetryMillis, strconv.FormatInt(h.pause(len(data)).Milliseconds(), 10))
		http.Error(w, "all upload slots are taken", http.StatusTooManyRequests)
		return
	}
	w.Header().Set(headerChunks, encodeBitmap(h.chunks.Bitmap(digest)))
	h.send(w, r, data)
}

// pause returns the mean time until one of the busy slots has sent a chunk of n bytes.
func (h *ChunkHandler) pause(n int) time.Duration {
	return min(max(h.limits.UploadTime(int64(n)), minUploadPause), maxUploadPause)
}

// send writes data at the rate that the limits allow. The deadline frees the slot of a reader that stalls.
func (h *ChunkHandler) send(w http.ResponseWriter, r *http.Request, data []byte) {
	ctx, cancel := context.WithTimeout(r.Context(), h.timeout)
	defer cancel()
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(h.timeout))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	for len(data) > 0 {
		part := min(len(data), paceBytes)
		if h.limits.WaitUpload(ctx, int64(part)) != nil {
			return
		}
		if _, err := w.Write(data[:part]); err != nil {
			return
		}
		data = data[part:]
	}
}
