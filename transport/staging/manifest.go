package staging

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// headerWait asks a peer to hold its response until it has the manifest, for at most manifestWait.
	headerWait = "Gt-Wait"
	// manifestWait is the longest time for which a peer holds the response to a request for a manifest. A manifest then travels down
	// the tree without polling; a shorter time causes more requests while the origin is unavailable.
	manifestWait = 500 * time.Millisecond
	// peerManifestTimeout bounds a request to a peer for a manifest, beyond the wait.
	peerManifestTimeout = 300 * time.Millisecond
	// maxManifestBytes bounds the manifest that a peer sends.
	maxManifestBytes = 4 << 20
	// manifestRetryBase and manifestRetryCap bound the backoff between two requests to the origin. The cap lets a host reach an origin
	// that has returned within 0.3 s.
	manifestRetryBase = 40 * time.Millisecond
	manifestRetryCap  = 250 * time.Millisecond
	// maxBackoffShift keeps the backoff shift within the range of a duration.
	maxBackoffShift = 8
)

// errPiecesUnknown is the error of a fetch while no manifest can be checked for completeness.
var errPiecesUnknown = protocol.Errorf(protocol.CodeUnavailable, "the configuration states no number of pieces")

// errSuperseded is the error of a fetch whose version is no longer wanted.
var errSuperseded = protocol.Errorf(protocol.CodeChanged, "the version is no longer wanted")

// manifestBody is the body of a response to a request for a manifest.
type manifestBody struct {
	Digests []worker.Digest `json:"digests"`
}

// serveManifest sends the manifest of a version to a peer.
func (s *peerServer) serveManifest(w http.ResponseWriter, r *http.Request) {
	t, err := parseTarget(r)
	if err != nil {
		http.Error(w, "version is not a number", http.StatusBadRequest)
		return
	}
	digests, ok := s.pieces.digests(t)
	if !ok && r.Header.Get(headerWait) != "" {
		ctx, cancel := context.WithTimeout(r.Context(), manifestWait)
		defer cancel()
		digests, ok = s.pieces.awaitDigests(ctx, t)
	}
	if !ok {
		http.Error(w, "manifest is not held", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(manifestBody{Digests: digests})
}

// manifest asks a peer for the manifest of a version, and with wait to hold the response until it has it.
func (c *peerClient) manifest(ctx context.Context, address string, t target, crossRegion, wait bool) (worker.Manifest, error) {
	timeout := peerManifestTimeout
	request := c.client.R().SetResponseBodyLimit(maxManifestBytes)
	if wait {
		timeout += manifestWait
		request.SetHeader(headerWait, "1")
	}
	if crossRegion {
		request.SetHeader(headerCrossRegion, "1")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := request.SetContext(ctx).Get(peerURL(address, t) + "/manifest")
	if err != nil {
		return worker.Manifest{}, protocol.Wrap(protocol.CodeUnavailable, err, "ask peer for a manifest")
	}
	var body manifestBody
	if status := response.StatusCode(); status != http.StatusOK {
		return worker.Manifest{}, protocol.Errorf(protocol.CodeUnavailable, "ask peer for a manifest: status %d", status)
	}
	if err := json.Unmarshal(response.Body(), &body); err != nil {
		return worker.Manifest{}, protocol.Wrap(protocol.CodeMalformed, err, "decode manifest from a peer")
	}
	return worker.Manifest{Model: t.model, Version: t.version, Digests: body.Digests}, nil
}

// obtainManifest returns the manifest of a version from the piece cache, from peers or, on the few hosts whose turn it is, from the
// origin. It retries until it succeeds, ctx ends or the version is no longer wanted.
func (a *Agent) obtainManifest(ctx context.Context, t target, wanted func() bool) (worker.Manifest, error) {
	startedAt := a.Now()
	for attempt := 0; ; attempt++ {
		if manifest, ok := a.cachedManifest(t); ok {
			return manifest, nil
		}
		if !wanted() {
			return worker.Manifest{}, errSuperseded
		}
		manifest, err := a.requestManifest(ctx, t, attempt, a.Now().Sub(startedAt))
		if err == nil {
			return manifest, nil
		}
		if attempt == 0 {
			a.Log.WithError(err).WithField("model", t.model).WithField("version", t.version).Info("manifest not yet available")
		}
		if err := pause(ctx, a.manifestBackoff(attempt)); err != nil {
			return worker.Manifest{}, err
		}
	}
}

// cachedManifest returns the manifest of a version from the piece cache. The configuration may state another number of pieces than when
// the manifest was received, so it is checked again.
func (a *Agent) cachedManifest(t target) (worker.Manifest, bool) {
	digests, ok := a.pieces.digests(t)
	if !ok {
		return worker.Manifest{}, false
	}
	manifest := worker.Manifest{Model: t.model, Version: t.version, Digests: digests}
	if a.checkManifest(manifest, manifestCache) != nil {
		return worker.Manifest{}, false
	}
	countManifest(manifestCache, nil)
	a.logManifest(manifest, manifestCache)
	return manifest, true
}

func (a *Agent) manifestBackoff(attempt int) time.Duration {
	step := min(manifestRetryBase<<min(attempt, maxBackoffShift), manifestRetryCap)
	return step/2 + time.Duration(a.randomBelow(int64(step/2)))
}

// requestManifest asks peers first, then the origin if it is this host's turn, and otherwise waits for the peer that gets the manifest
// before this host.
func (a *Agent) requestManifest(ctx context.Context, t target, attempt int, waited time.Duration) (worker.Manifest, error) {
	if a.configuredPieces() <= 0 {
		return worker.Manifest{}, errPiecesUnknown
	}
	cfg, hosts, key := a.transferConfig(), a.hosts(), versionKey(t)
	peers := transfer.ManifestPeers(cfg, a.self(), hosts, key, attempt)
	for _, peer := range peers {
		if manifest, err := a.manifestFromPeer(ctx, peer, t, false); err == nil {
			return manifest, nil
		}
	}
	if a.pieces.isRejectedVersion(t) || transfer.ManifestReader(cfg, a.self(), hosts, key, waited) {
		return a.manifestFromOrigin(ctx, t)
	}
	if len(peers) == 0 {
		return worker.Manifest{}, protocol.Errorf(protocol.CodeUnavailable, "no peer to ask for the manifest")
	}
	return a.manifestFromPeer(ctx, peers[0], t, true)
}

// manifestFromOrigin reads a manifest from the origin twice and returns it if both agree. A corrupt one would otherwise reach all peers,
// and only the few hosts that fetch the pieces concerned from the origin would notice.
func (a *Agent) manifestFromOrigin(ctx context.Context, t target) (worker.Manifest, error) {
	manifest, err := a.readManifest(ctx, t)
	countManifest(manifestOrigin, err)
	if err != nil {
		return manifest, err
	}
	again, err := a.readManifest(ctx, t)
	countManifest(manifestOrigin, err)
	if err == nil && !slices.Equal(manifest.Digests, again.Digests) {
		err = protocol.Errorf(protocol.CodeMalformed, "two reads of the manifest of version %d differ", t.version)
	}
	if err == nil {
		a.logManifest(again, manifestOrigin)
	}
	return again, err
}

// manifestFromPeer asks a peer for a manifest. It refuses one that is incomplete or was rejected before.
func (a *Agent) manifestFromPeer(ctx context.Context, peer core.Host, t target, wait bool) (worker.Manifest, error) {
	manifest, err := a.peers.manifest(ctx, peer.DataAddr, t, peer.Region != a.Region, wait)
	if err == nil && a.pieces.isRejected(manifest) {
		err = protocol.Errorf(protocol.CodeMalformed, "peer sent a manifest that does not match the pieces")
	}
	if err == nil {
		err = a.checkManifest(manifest, manifestPeer)
	}
	if err == nil {
		countManifest(manifestPeer, nil)
		a.logManifest(manifest, manifestPeer)
	}
	return manifest, err
}

// checkManifest returns an error unless a manifest lists as many pieces as the configuration states, each with a valid digest. With too
// few of them, pieces of an earlier version would stay in the staging area and be loaded.
func (a *Agent) checkManifest(manifest worker.Manifest, source manifestSource) error {
	pieces := a.configuredPieces()
	if pieces <= 0 {
		return errPiecesUnknown
	}
	err := manifest.CheckComplete(pieces)
	if err != nil {
		countManifest(manifestIncomplete, nil)
		a.logIncomplete(manifest, source, err)
	}
	return err
}

// incompleteManifest identifies manifests that are incomplete in the same way.
type incompleteManifest struct {
	target target
	reason string
}

// logIncomplete logs that a manifest is incomplete, unless the last one of the source was so in the same way.
func (a *Agent) logIncomplete(manifest worker.Manifest, source manifestSource, err error) {
	found := incompleteManifest{target: target{model: manifest.Model, version: manifest.Version}, reason: err.Error()}
	a.mu.Lock()
	logged := a.lastIncomplete[source] == found
	if a.lastIncomplete == nil {
		a.lastIncomplete = make(map[manifestSource]incompleteManifest)
	}
	a.lastIncomplete[source] = found
	a.mu.Unlock()
	if !logged {
		a.Log.WithError(err).WithField("source", source).Warn("manifest is incomplete")
	}
}

// logManifest logs the number of pieces of a manifest that is about to be used, with the one that the configuration states.
func (a *Agent) logManifest(manifest worker.Manifest, source manifestSource) {
	a.Log.WithFields(logrus.Fields{
		"model": manifest.Model, "version": manifest.Version, "source": source,
		"pieces": len(manifest.Digests), "configured_pieces": a.configuredPieces(),
	}).Info("manifest received")
}

// configuredPieces returns the number of pieces of a version that the configuration states, or 0 if it states none.
func (a *Agent) configuredPieces() int {
	view := a.View()
	if !view.Ready() {
		return 0
	}
	spec := view.Configuration.Upstreams[a.Upstream].Engine
	if spec == nil {
		return 0
	}
	return spec.Chunks
}
