package weights

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport"
	"github.com/guavatrestle/guavatrestle/transport/httphead"
	"github.com/guavatrestle/guavatrestle/transport/netdial"
)

const (
	// headerChunks carries the sender's bitmap of held chunks in base64, which makes a separate poll unnecessary.
	headerChunks = "Gt-Chunks"
	// headerHost carries the ID of the host that requests a chunk.
	headerHost = "Gt-Host"
	// pollTimeout bounds one poll of a peer.
	pollTimeout = 2 * time.Second
	// idlePeerConns bounds the idle connections kept open to one peer.
	idlePeerConns = 2
	// idlePeerTimeout is the time after which an unused connection to a peer is closed. An agent asks different hosts for
	// different chunks; with the default timeout of 90 s, 200 agents in one process used up 20,000 file descriptors.
	idlePeerTimeout = 10 * time.Second
)

// PeerClient polls other agents and fetches chunks from them.
type PeerClient struct {
	self   core.Host
	chunks *table.Chunks
	http   *http.Client
}

// NewPeerClient returns a PeerClient for host self; its requests tell peers which chunks self holds.
func NewPeerClient(self core.Host, chunks *table.Chunks) *PeerClient {
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.MaxIdleConnsPerHost = idlePeerConns
	base.IdleConnTimeout = idlePeerTimeout
	base.MaxResponseHeaderBytes = netdial.MaxHeadBytes
	return &PeerClient{self: self, chunks: chunks, http: &http.Client{Transport: httphead.NewTransport(base)}}
}

// NewSecurePeerClient returns a PeerClient for host self that sends its requests through transport, which must use
// TLS.
func NewSecurePeerClient(self core.Host, chunks *table.Chunks, transport http.RoundTripper) *PeerClient {
	return &PeerClient{self: self, chunks: chunks, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *PeerClient) Close() { c.http.CloseIdleConnections() }

// PollChunks asks a peer which chunks of a version it holds and, if manifest is true, for the manifest.
func (c *PeerClient) PollChunks(ctx context.Context, peer core.Host, digest core.Digest, manifest bool) (*wire.ChunksResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	client := wire.NewAgentProtobufClient("http://"+peer.ControlAddr, transport.BoundResponses(c.http))
	response, err := client.Chunks(ctx, &wire.ChunksRequest{
		VersionDigest: string(digest), Host: string(c.self.ID), WantManifest: manifest, Bitmap: c.chunks.Bitmap(digest),
	})
	if err != nil {
		return nil, protocol.Wrap(protocol.CodeUnavailable, err, "ask "+string(peer.ID)+" for its chunks")
	}
	return response, nil
}

// ServesVersion reports whether the back end of a peer serves any version.
func (c *PeerClient) ServesVersion(ctx context.Context, peer core.Host) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	client := wire.NewAgentProtobufClient("http://"+peer.ControlAddr, transport.BoundResponses(c.http))
	response, err := client.Status(ctx, &wire.StatusRequest{Host: string(c.self.ID), Incarnation: string(c.self.Incarnation)})
	if err != nil {
		return false, protocol.Wrap(protocol.CodeUnavailable, err, "ask "+string(peer.ID)+" for its status")
	}
	return response.GetVersionDigest() != "", nil
}

// FetchChunk fetches a chunk of size bytes and the bitmap of the chunks that the peer holds, nil if it sent none.
func (c *PeerClient) FetchChunk(ctx context.Context, peer core.Host, digest core.Digest, index int, size int64) ([]byte, transfer.Bitmap, error) {
	target := fmt.Sprintf("http://%s/chunks/%s/%d", peer.DataAddr, digest, index)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, nil, protocol.Wrap(protocol.CodeMalformed, err, "build chunk request")
	}
	request.Header.Set(headerHost, string(c.self.ID))
	request.Header.Set(headerChunks, encodeBitmap(c.chunks.Bitmap(digest)))
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, protocol.Wrap(protocol.CodeUnavailable, err, "request chunk")
	}
	defer func() { _ = response.Body.Close() }()
	if err := checkChunkStatus(response); err != nil {
		return nil, nil, err
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(response.Body, data); err != nil {
		return nil, nil, protocol.Wrap(protocol.CodeIncomplete, err, "read chunk")
	}
	return data, decodeBitmap(response.Header), nil
}

func encodeBitmap(bitmap []byte) string { return base64.StdEncoding.EncodeToString(bitmap) }

// decodeBitmap returns the bitmap in header, nil if there is none or it is malformed.
func decodeBitmap(header http.Header) transfer.Bitmap {
	value := header.Get(headerChunks)
	if value == "" {
		return nil
	}
	bitmap, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		return nil
	}
	return bitmap
}

func checkChunkStatus(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return protocol.Errorf(protocol.CodeNotFound, "peer does not hold the chunk")
	case http.StatusTooManyRequests:
		err := protocol.Errorf(protocol.CodeRateLimited, "peer has no upload slot")
		err.RetryAfter = retryAfterFrom(response.Header)
		return err
	default:
		return protocol.Errorf(protocol.CodeUnavailable, "peer returned status %d", response.StatusCode)
	}
}

// retryAfterFrom returns the pause that a peer asks for: in milliseconds if it sent them, otherwise in seconds.
func retryAfterFrom(header http.Header) time.Duration {
	if millis, err := strconv.Atoi(header.Get(headerRetryAfterMillis)); err == nil && millis > 0 {
		return time.Duration(millis) * time.Millisecond
	}
	pause, _ := headers.RetryAfter(header)
	return pause
}
