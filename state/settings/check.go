package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// MaxBodyBytes bounds the size of a document's body. An object holds the current body and up to ten earlier ones, and the
// object API accepts objects of up to 1 MB.
const MaxBodyBytes = 64 << 10

// rules validates structs by their validate tags and reports fields under their JSON keys.
var rules = newRules()

func newRules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	return v
}

// CheckBody checks one document on its own and returns all problems found.
func CheckBody(doc Document) Problems {
	prefix, _, err := SplitPath(doc.Path)
	if err != nil {
		return Problems{{Path: doc.Path, Reason: "want /teams/<team>, /failure-domains/<name> or /upstreams/<name> with a lower-case DNS label"}}
	}
	if doc.Tombstone {
		return nil
	}
	if len(doc.Body) > MaxBodyBytes {
		return Problems{{Path: doc.Path, Reason: fmt.Sprintf("body has %d bytes, more than %d", len(doc.Body), MaxBodyBytes)}}
	}
	switch prefix {
	case TeamPrefix:
		return checkBodyAs[TeamSettings](doc)
	case FailureDomainPrefix:
		return checkBodyAs[FailureDomainSettings](doc)
	default:
		return checkBodyAs[UpstreamSettings](doc)
	}
}

func checkBodyAs[T any](doc Document) Problems {
	raw, err := decodeAny(doc.Body)
	if err != nil {
		return Problems{{Path: doc.Path, Reason: "body is not valid JSON: " + err.Error()}}
	}
	problems := shapeProblems(doc.Path, "", raw, reflect.TypeFor[T]())
	var value T
	if err := json.Unmarshal(doc.Body, &value); err != nil && len(problems) == 0 {
		problems = append(problems, Problem{Path: doc.Path, Reason: err.Error()})
	}
	// A value of the wrong type is zero after decoding, so its rule would report the same fault again.
	reported := make(map[string]bool)
	for _, p := range problems {
		reported[p.Field] = true
	}
	for _, p := range ruleProblems(doc.Path, value) {
		if !reported[p.Field] {
			problems = append(problems, p)
		}
	}
	return problems.sorted()
}

func decodeAny(body []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	var raw any
	if err := decoder.Decode(&raw); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one JSON value")
	}
	return raw, nil
}

func ruleProblems(path string, value any) Problems {
	var failed validator.ValidationErrors
	if !errors.As(rules.Struct(value), &failed) {
		return nil
	}
	var problems Problems
	for _, f := range failed {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		problems = append(problems, Problem{Path: path, Field: field, Reason: ruleReason(f)})
	}
	return problems
}

func ruleReason(f validator.FieldError) string {
	switch f.Tag() {
	case "required", "required_if":
		return "is required"
	case "min":
		return "want at least " + f.Param()
	case "max":
		return "want at most " + f.Param()
	case "gt":
		return "want more than " + f.Param()
	case "gtefield":
		return "want at least the value of " + f.Param()
	case "oneof":
		return "want one of " + strings.Join(strings.Fields(f.Param()), ", ")
	case "len", "hexadecimal":
		return "want a BLAKE3-256 hash in 64 hexadecimal digits"
	default:
		return "violates the rule " + f.Tag()
	}
}
