package settings

import (
	"encoding/json"
	"slices"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Tree is an immutable, decoded view of all settings documents.
type Tree struct {
	Teams          map[core.Team]TeamSettings
	FailureDomains map[core.FailureDomain]FailureDomainSettings
	Upstreams      map[core.Upstream]UpstreamSettings
	tokens         map[core.Digest]core.Team
}

// NewTree decodes documents; a document that does not decode is an error that names its path.
func NewTree(documents []Document) (*Tree, error) {
	t := &Tree{
		Teams:          make(map[core.Team]TeamSettings),
		FailureDomains: make(map[core.FailureDomain]FailureDomainSettings),
		Upstreams:      make(map[core.Upstream]UpstreamSettings),
		tokens:         make(map[core.Digest]core.Team),
	}
	for _, doc := range documents {
		if doc.Tombstone {
			continue
		}
		if err := t.add(doc); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// TeamByToken returns the team that owns a bearer token.
func (t *Tree) TeamByToken(token string) (core.Team, bool) {
	team, ok := t.tokens[core.DigestOf([]byte(token))]
	return team, ok
}

// InService reports whether a failure domain takes new work.
func (t *Tree) InService(name core.FailureDomain) bool {
	return t.FailureDomains[name].State != FailureDomainOut
}

// IsWithdrawn reports whether a version of an upstream's model was withdrawn.
func (u UpstreamSettings) IsWithdrawn(digest core.Digest) bool {
	return slices.Contains(u.Withdrawn, digest)
}

func (t *Tree) add(doc Document) error {
	kind, name, err := SplitPath(doc.Path)
	if err != nil {
		return err
	}
	switch kind {
	case TeamPrefix:
		return t.addTeam(core.Team(name), doc)
	case FailureDomainPrefix:
		return decodeInto(doc, t.FailureDomains, core.FailureDomain(name))
	default:
		return decodeInto(doc, t.Upstreams, core.Upstream(name))
	}
}

func (t *Tree) addTeam(team core.Team, doc Document) error {
	if err := decodeInto(doc, t.Teams, team); err != nil {
		return err
	}
	for _, hash := range t.Teams[team].TokenHashes {
		t.tokens[hash] = team
	}
	return nil
}

func decodeInto[K comparable, V any](doc Document, into map[K]V, key K) error {
	var value V
	if err := json.Unmarshal(doc.Body, &value); err != nil {
		return core.NewError(core.CodeInvalid, doc.Path, err.Error())
	}
	into[key] = value
	return nil
}
