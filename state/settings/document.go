package settings

import (
	"encoding/json"
	"strings"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Path prefixes of the kinds of documents.
const (
	TeamPrefix          = "/teams/"
	FailureDomainPrefix = "/failure-domains/"
	UpstreamPrefix      = "/upstreams/"
)

// Document is one versioned document of the settings tree.
type Document struct {
	Path      string          `json:"path"`
	Version   uint64          `json:"version"`
	Tombstone bool            `json:"tombstone,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// TeamPath returns the path of a team's document.
func TeamPath(team core.Team) string { return TeamPrefix + string(team) }

// FailureDomainPath returns the path of a failure domain's document.
func FailureDomainPath(name core.FailureDomain) string { return FailureDomainPrefix + string(name) }

// UpstreamPath returns the path of an upstream's document.
func UpstreamPath(name core.Upstream) string { return UpstreamPrefix + string(name) }

// ObjectName returns the name of the platform object that holds the document at path.
func ObjectName(path string) string {
	return strings.ReplaceAll(strings.TrimPrefix(path, "/"), "/", ".")
}
