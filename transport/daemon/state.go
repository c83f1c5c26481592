package daemon

import (
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// State is the dump of a process at /debug/state.
type State struct {
	Self     core.Host           `json:"self"`
	Settings []settings.Document `json:"settings"`
	Members  []core.Host         `json:"members"`
	Role     any                 `json:"role"`
}

// redact returns copies of documents without secrets.
func redact(documents []settings.Document) []settings.Document {
	out := make([]settings.Document, 0, len(documents))
	for _, doc := range documents {
		out = append(out, settings.Redact(doc))
	}
	return out
}
