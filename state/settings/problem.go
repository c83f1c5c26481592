package settings

import (
	"cmp"
	"slices"
	"strings"
)

// Problem is one reason why a document is rejected.
type Problem struct {
	// Path is the document's path.
	Path string `json:"path"`
	// Field locates the value inside the document, such as models[0].upstream; empty means the whole document.
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// String returns the problem as path, field and reason.
func (p Problem) String() string {
	if p.Field == "" {
		return p.Path + ": " + p.Reason
	}
	return p.Path + ": " + p.Field + ": " + p.Reason
}

// Problems lists all reasons why an edit is rejected.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "; ")
}

// sorted returns the problems ordered by path, field and reason, without duplicates. It sorts p in place.
func (p Problems) sorted() Problems {
	slices.SortFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Reason, b.Reason))
	})
	return slices.Compact(p)
}
