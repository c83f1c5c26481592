package settings

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// redactedPrefix starts the stand-in for a token hash in everything that is shown.
const redactedPrefix = "redacted:"

// hashPrefixDigits is the number of hexadecimal digits of a token hash that are shown.
const hashPrefixDigits = 8

// secretKeys are the keys of a body whose values are not shown.
var secretKeys = []string{"token_hashes", "admin_token_hashes"}

// HashPrefix returns the part of a token hash that may be shown.
func HashPrefix(hash core.Digest) string {
	return string(hash[:min(len(hash), hashPrefixDigits)])
}

// RedactHash returns the stand-in for a token hash.
func RedactHash(hash core.Digest) string { return redactedPrefix + HashPrefix(hash) }

// Redact returns doc with stand-ins for its token hashes.
func Redact(doc Document) Document {
	doc.Body = RedactBody(doc.Body)
	return doc
}

// RedactBody returns body with stand-ins for its token hashes; a body that is not an object is left out.
func RedactBody(body json.RawMessage) json.RawMessage {
	if len(body) == 0 {
		return nil
	}
	return rewriteSecrets(body, func(_ string, values []string) []string {
		for i, v := range values {
			if !strings.HasPrefix(v, redactedPrefix) {
				values[i] = RedactHash(core.Digest(v))
			}
		}
		return values
	})
}

// RestoreHashes replaces the stand-ins in edit with the token hashes that current holds, so that a document
// that was read, edited and sent back keeps its tokens.
func RestoreHashes(path string, edit, current json.RawMessage) (json.RawMessage, Problems) {
	held := make(map[string][]string)
	rewriteSecrets(current, func(key string, values []string) []string {
		held[key] = values
		return values
	})
	var problems Problems
	out := rewriteSecrets(edit, func(key string, values []string) []string {
		for i, v := range values {
			prefix, redacted := strings.CutPrefix(v, redactedPrefix)
			if !redacted {
				continue
			}
			found := slices.IndexFunc(held[key], func(h string) bool { return strings.HasPrefix(h, prefix) })
			if found < 0 || len(prefix) != hashPrefixDigits {
				problems = append(problems, Problem{
					Path: path, Field: fmt.Sprintf("%s[%d]", key, i),
					Reason: fmt.Sprintf("the current version holds no token hash that starts with %q", prefix),
				})
				continue
			}
			values[i] = held[key][found]
		}
		return values
	})
	if out == nil {
		return edit, nil
	}
	return out, problems
}

// rewriteSecrets passes every list of secrets in body through change. It returns nil when body is not
// an object. A secret that is not a list of strings is replaced by a fixed text.
func rewriteSecrets(body json.RawMessage, change func(key string, values []string) []string) json.RawMessage {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil || fields == nil {
		return nil
	}
	for _, key := range secretKeys {
		raw, ok := fields[key]
		if !ok {
			continue
		}
		var values []string
		if json.Unmarshal(raw, &values) != nil {
			fields[key] = json.RawMessage(`"redacted"`)
			continue
		}
		if values == nil {
			continue
		}
		fields[key], _ = json.Marshal(change(key, values))
	}
	out, _ := json.Marshal(fields)
	return out
}
