package staging

import (
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"
	"golang.org/x/time/rate"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/transport/netdial"
)

// headerHeld carries the base64 bitmap of the pieces that the sender of a response holds.
const headerHeld = "Gt-Held"

// headerRetryMS carries the time in milliseconds after which a peer without an upload slot expects one.
const headerRetryMS = "Gt-Retry-Ms"

// headerCrossRegion marks a request that comes from a host in another region.
const headerCrossRegion = "Gt-Cross-Region"

// burstBytes is the size of the slices in which pieces are sent. One slice delays a live request by about 7 ms at 9.4
// Mbit/s.
const burstBytes = 8 << 10

const (
	// largestPieceBytes bounds a piece of any version.
	largestPieceBytes = 16 << 20
	// maxBusyPause bounds the pause that a peer without an upload slot may request.
	maxBusyPause = time.Second
	// maxPollBytes bounds the body of the response to a poll, which has none unless it is an error.
	maxPollBytes = 4 << 10
)

// peerServer serves pieces to peers.
type peerServer struct {
	pieces *pieceCache

	mu      sync.Mutex
	uploads *transfer.UploadSlots
	// limiter bounds the upload rate and so leaves bandwidth on the host's link for live requests.
	limiter *rate.Limiter
	// uploadRate is the rate of limiter in bytes per second, 0 if unlimited.
	uploadRate float64
	// heard is called with what a peer at an address holds, if its request states that.
	heard func(t target, address string, held transfer.Bitmap)
}

func (s *peerServer) register(mux *http.ServeMux) {
	mux.HandleFunc("GET /weights/{model}/{version}/held", s.serveHeld)
	mux.HandleFunc("GET /weights/{model}/{version}/pieces/{index}", s.servePiece)
	mux.HandleFunc("GET /weights/{model}/{version}/manifest", s.serveManifest)
}

func parseTarget(r *http.Request) (target, error) {
	version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
	return target{model: core.Model(r.PathValue("model")), version: version}, err
}

func (s *peerServer) serveHeld(w http.ResponseWriter, r *http.Request) {
	t, err := parseTarget(r)
	if err != nil {
		http.Error(w, "version is not a number", http.StatusBadRequest)
		return
	}
	s.hear(r, t)
	w.Header().Set(headerHeld, base64.StdEncoding.EncodeToString(s.pieces.held(t)))
	w.WriteHeader(http.StatusOK)
}

func (s *peerServer) servePiece(w http.ResponseWriter, r *http.Request) {
	t, err := parseTarget(r)
	index, indexErr := strconv.Atoi(r.PathValue("index"))
	if err != nil || indexErr != nil {
		http.Error(w, "version or index is not a number", http.StatusBadRequest)
		return
	}
	w.Header().Set(headerHeld, base64.StdEncoding.EncodeToString(s.pieces.held(t)))
	s.hear(r, t)
	data, ok := s.pieces.get(t, index)
	if !ok {
		http.Error(w, "piece is not held", http.StatusNotFound)
		return
	}
	if !s.tryAcquireSlot(r.Header.Get(headerCrossRegion) != "") {
		w.Header().Set(headerRetryMS, strconv.FormatInt(transfer.BusyDelay(len(data), s.uploadRate).Milliseconds(), 10))
		http.Error(w, "all upload slots are in use", http.StatusTooManyRequests)
		return
	}
	defer s.releaseSlot()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	s.writePaced(w, r, data)
}

func (s *peerServer) tryAcquireSlot(crossRegion bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.uploads.TryAcquire(crossRegion)
}

func (s *peerServer) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uploads.Release()
}

// writePaced writes data in slices at the rate that limiter allows. It returns when the peer closes the connection.
func (s *peerServer) writePaced(w http.ResponseWriter, r *http.Request, data []byte) {
	for slice := range slices.Chunk(data, burstBytes) {
		if s.limiter.WaitN(r.Context(), len(slice)) != nil {
			return
		}
		if _, err := w.Write(slice); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// peerClient fetches pieces from peers.
type peerClient struct {
	client *resty.Client
}

func newPeerClient() *peerClient {
	return &peerClient{client: resty.New().SetTransport(netdial.NewTransport()).SetResponseBodyLimit(maxPollBytes)}
}

func (c *peerClient) heldPieces(ctx context.Context, address string, t target, own transfer.Bitmap) (transfer.Bitmap, error) {
	response, err := c.client.R().SetContext(ctx).SetHeader(headerHeld, base64.StdEncoding.EncodeToString(own)).Get(peerURL(address, t) + "/held")
	if err != nil {
		return nil, protocol.Wrap(protocol.CodeUnavailable, err, "ask peer for held pieces")
	}
	if status := response.StatusCode(); status != http.StatusOK {
		return nil, protocol.Errorf(protocol.CodeUnavailable, "ask peer for held pieces: status %d", status)
	}
	return decodeHeld(response.Header())
}

// fetchPiece fetches a piece and the bitmap of the pieces that the peer holds.
func (c *peerClient) fetchPiece(
	ctx context.Context, address string, t target, fetch transfer.Fetch, own transfer.Bitmap, maxBytes int,
) ([]byte, transfer.Bitmap, error) {
	request := c.client.R().SetContext(ctx).SetResponseBodyLimit(maxBytes).SetHeader(headerHeld, base64.StdEncoding.EncodeToString(own))
	if fetch.CrossRegion {
		request.SetHeader(headerCrossRegion, "1")
	}
	response, err := request.Get(peerURL(address, t) + "/pieces/" + strconv.Itoa(fetch.Index))
	if err != nil {
		return nil, nil, protocol.Wrap(protocol.CodeUnavailable, err, "get piece from peer")
	}
	switch status := response.StatusCode(); status {
	case http.StatusOK:
		held, err := decodeHeld(response.Header())
		return response.Body(), held, err
	case http.StatusNotFound:
		return nil, nil, protocol.Errorf(protocol.CodeNotFound, "peer does not hold piece %d", fetch.Index)
	case http.StatusTooManyRequests:
		busy := protocol.Errorf(protocol.CodeRateLimited, "peer has no upload slot")
		if ms, err := strconv.ParseInt(response.Header().Get(headerRetryMS), 10, 64); err == nil {
			busy.RetryAfter = min(max(time.Duration(ms)*time.Millisecond, 0), maxBusyPause)
		}
		held, err := decodeHeld(response.Header())
		if err != nil {
			return nil, nil, err
		}
		return nil, held, busy
	default:
		return nil, nil, protocol.Errorf(protocol.CodeUnavailable, "get piece from peer: status %d", status)
	}
}

func peerURL(address string, t target) string {
	return fmt.Sprintf("http://%s/weights/%s/%d", address, url.PathEscape(string(t.model)), t.version)
}

func decodeHeld(header http.Header) (transfer.Bitmap, error) {
	bitmap, err := base64.StdEncoding.DecodeString(header.Get(headerHeld))
	if err != nil {
		return nil, protocol.Wrap(protocol.CodeMalformed, err, "decode held pieces of peer")
	}
	return bitmap, nil
}
