package daemon

import (
	"encoding/json"

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

// secretKeys are the keys of a settings body whose values a dump leaves out.
var secretKeys = []string{"token_hashes"}

// redact returns copies of documents without secrets.
func redact(documents []settings.Document) []settings.Document {
	out := make([]settings.Document, 0, len(documents))
	for _, doc := range documents {
		doc.Body = redactBody(doc.Body)
		out = append(out, doc)
	}
	return out
}

func redactBody(body json.RawMessage) json.RawMessage {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return nil
	}
	for _, key := range secretKeys {
		if _, ok := fields[key]; ok {
			fields[key] = json.RawMessage(`"removed"`)
		}
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return nil
	}
	return out
}
