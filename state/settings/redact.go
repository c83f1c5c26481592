package settings

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// redactedPrefix starts the placeholder that replaces a token hash in responses and dumps.
const redactedPrefix = "redacted:"

// hashPrefixDigits is the number of hexadecimal digits of a token hash that are disclosed.
const hashPrefixDigits = 8

// secretKeys are the keys of a body whose values are redacted.
var secretKeys = []string{"token_hashes", "admin_token_hashes"}

// HashPrefix returns the prefix of a token hash that may be disclosed.
func HashPrefix(hash core.Digest) string {
	return string(hash[:min(len(hash), hashPrefixDigits)])
}

// RedactHash returns the placeholder for a token hash.
func RedactHash(hash core.Digest) string { return redactedPrefix + HashPrefix(hash) }

// Redact returns doc with placeholders for its token hashes.
func Redact(doc Document) Document {
	doc.Body = RedactBody(doc.Body)
	return doc
}

// RedactBody returns body with placeholders for its token hashes, or nil if body is not a JSON object.
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

// RestoreHashes replaces the placeholders in edit with the token hashes of current, so that a document that was read, edited
// and sent back keeps its tokens. A placeholder that matches no hash of the same list is a problem.
func RestoreHashes(path string, edit, current json.RawMessage) (json.RawMessage, Problems) {
	currentHashes := make(map[string][]string)
	rewriteSecrets(current, func(key string, values []string) []string {
		currentHashes[key] = values
		return values
	})
	var problems Problems
	out := rewriteSecrets(edit, func(key string, values []string) []string {
		for i, v := range values {
			prefix, redacted := strings.CutPrefix(v, redactedPrefix)
			if !redacted {
				continue
			}
			found := slices.IndexFunc(currentHashes[key], func(h string) bool { return strings.HasPrefix(h, prefix) })
			if found < 0 || len(prefix) != hashPrefixDigits {
				problems = append(problems, Problem{
					Path: path, Field: fmt.Sprintf("%s[%d]", key, i),
					Reason: fmt.Sprintf("the current version holds no token hash that starts with %q", prefix),
				})
				continue
			}
			values[i] = currentHashes[key][found]
		}
		return values
	})
	if out == nil {
		return edit, nil
	}
	return out, problems
}

// rewriteSecrets replaces every list of secrets in body with the result of change. It returns nil if body is not a JSON
// object. A secret that is not a list of strings is replaced with a fixed text.
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
