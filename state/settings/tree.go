package settings

import (
	"encoding/json"
	"errors"
	"slices"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Tree is an immutable view of all decoded settings documents.
type Tree struct {
	Teams          map[core.Team]TeamSettings
	FailureDomains map[core.FailureDomain]FailureDomainSettings
	Upstreams      map[core.Upstream]UpstreamSettings
	tokens         map[core.Digest]core.Team
	adminTokens    map[core.Digest]core.Team
}

// NewTree decodes documents. A document that can't be decoded is omitted, and the error names its path.
//
// Unknown keys are ignored, so that a process accepts documents written by a newer release. CheckBody rejects them in edits.
func NewTree(documents []Document) (*Tree, error) {
	t := &Tree{
		Teams:          make(map[core.Team]TeamSettings),
		FailureDomains: make(map[core.FailureDomain]FailureDomainSettings),
		Upstreams:      make(map[core.Upstream]UpstreamSettings),
		tokens:         make(map[core.Digest]core.Team),
		adminTokens:    make(map[core.Digest]core.Team),
	}
	var failed []error
	for _, doc := range documents {
		if doc.Tombstone {
			continue
		}
		if err := t.add(doc); err != nil {
			failed = append(failed, err)
		}
	}
	t.indexTokens()
	return t, errors.Join(failed...)
}

// TeamByToken returns the team that owns a bearer token.
func (t *Tree) TeamByToken(token string) (core.Team, bool) {
	team, ok := t.tokens[core.DigestOf([]byte(token))]
	return team, ok
}

// TeamByAdminToken returns the team whose administrator holds a bearer token.
func (t *Tree) TeamByAdminToken(token string) (core.Team, bool) {
	team, ok := t.adminTokens[core.DigestOf([]byte(token))]
	return team, ok
}

// InService reports whether a failure domain accepts new requests.
func (t *Tree) InService(name core.FailureDomain) bool {
	return t.FailureDomains[name].State != FailureDomainOut
}

// IsWithdrawn reports whether a version of an upstream's model was withdrawn.
func (u UpstreamSettings) IsWithdrawn(digest core.Digest) bool {
	return slices.Contains(u.Withdrawn, digest)
}

func (t *Tree) add(doc Document) error {
	prefix, name, err := SplitPath(doc.Path)
	if err != nil {
		return err
	}
	switch prefix {
	case TeamPrefix:
		return decodeInto(doc, t.Teams, core.Team(name))
	case FailureDomainPrefix:
		return decodeInto(doc, t.FailureDomains, core.FailureDomain(name))
	default:
		return decodeInto(doc, t.Upstreams, core.Upstream(name))
	}
}

// indexTokens maps token hashes to teams. A hash that two teams list is assigned to neither: two concurrent edits may both
// have been accepted, and a token must not authenticate as the wrong team.
func (t *Tree) indexTokens() {
	shared := make(map[core.Digest]bool)
	owner := make(map[core.Digest]core.Team)
	for team, spec := range t.Teams {
		for _, hash := range spec.hashes() {
			previous, ok := owner[hash]
			shared[hash] = shared[hash] || ok && previous != team
			owner[hash] = team
		}
	}
	for team, spec := range t.Teams {
		indexHashes(t.tokens, shared, team, spec.TokenHashes)
		indexHashes(t.adminTokens, shared, team, spec.AdminTokenHashes)
	}
}

func indexHashes(into map[core.Digest]core.Team, shared map[core.Digest]bool, team core.Team, hashes []core.Digest) {
	for _, hash := range hashes {
		if !shared[hash] {
			into[hash] = team
		}
	}
}

func decodeInto[K comparable, V any](doc Document, into map[K]V, key K) error {
	var value V
	if err := json.Unmarshal(doc.Body, &value); err != nil {
		return core.NewError(core.CodeInvalid, doc.Path, err.Error())
	}
	into[key] = value
	return nil
}
