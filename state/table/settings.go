package table

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/guavatrestle/guavatrestle/state/settings"
)

// Settings holds the settings documents in force, highest version per path.
type Settings struct {
	mu        sync.RWMutex
	documents map[string]settings.Document
	tree      *settings.Tree
	loaded    bool
}

// NewSettings returns an empty table.
func NewSettings() *Settings {
	tree, _ := settings.NewTree(nil)
	return &Settings{documents: make(map[string]settings.Document), tree: tree}
}

// Merge takes over every document that is newer than the one held and returns those taken.
func (s *Settings) Merge(documents []settings.Document) ([]settings.Document, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(s.documents)
	var taken []settings.Document
	for _, doc := range documents {
		if held, ok := next[doc.Path]; ok && held.Version >= doc.Version {
			continue
		}
		next[doc.Path] = doc
		taken = append(taken, doc)
	}
	if len(taken) == 0 {
		return nil, nil
	}
	tree, err := settings.NewTree(slices.Collect(maps.Values(next)))
	if err != nil {
		return nil, err
	}
	s.documents, s.tree = next, tree
	return taken, nil
}

// MarkLoaded records that the table holds a full configuration.
func (s *Settings) MarkLoaded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = true
}

// Loaded reports whether the table holds a full configuration.
func (s *Settings) Loaded() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.loaded
}

// Tree returns the decoded settings in force; callers must not change it.
func (s *Settings) Tree() *settings.Tree {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.tree
}

// Documents returns the documents held, sorted by path.
func (s *Settings) Documents() []settings.Document {
	s.mu.RLock()
	defer s.mu.RUnlock()
	documents := slices.Collect(maps.Values(s.documents))
	slices.SortFunc(documents, func(a, b settings.Document) int { return strings.Compare(a.Path, b.Path) })
	return documents
}
