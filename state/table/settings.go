package table

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"github.com/guavatrestle/guavatrestle/state/settings"
)

// Settings holds the settings documents, highest version per path, and the decoded tree in force.
type Settings struct {
	mu mutex[rankSettings]
	// documents are the newest known, which peers get.
	documents map[string]settings.Document
	// decodable are the newest per path that this process can decode; the tree is built from them.
	decodable map[string]settings.Document
	tree      *settings.Tree
	loaded    bool
	// changed is closed on each change and replaced by a fresh channel.
	changed chan struct{}
}

// SettingsView is the state of the table at one moment.
type SettingsView struct {
	// Tree holds the decoded settings in force; it must not be changed.
	Tree *settings.Tree
	// Loaded says that the table holds a full configuration.
	Loaded bool
	// Changed is closed once the view is no longer current.
	Changed <-chan struct{}
}

// NewSettings returns an empty table.
func NewSettings() *Settings {
	tree, _ := settings.NewTree(nil)
	return &Settings{
		documents: make(map[string]settings.Document),
		decodable: make(map[string]settings.Document),
		tree:      tree,
		changed:   make(chan struct{}),
	}
}

// Merge takes over every document that is newer than the one held and returns those taken.
//
// A document that does not decode is taken, so that peers get it, but the last decodable version of
// its path stays in force. The error names every such document.
func (s *Settings) Merge(documents []settings.Document) ([]settings.Document, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var taken []settings.Document
	var failed []error
	for _, doc := range documents {
		if held, ok := s.documents[doc.Path]; ok && held.Version >= doc.Version {
			continue
		}
		s.documents[doc.Path] = doc
		taken = append(taken, doc)
		if _, err := settings.NewTree([]settings.Document{doc}); err != nil {
			failed = append(failed, err)
			continue
		}
		s.decodable[doc.Path] = doc
	}
	if len(taken) > 0 {
		s.tree, _ = settings.NewTree(slices.Collect(maps.Values(s.decodable)))
		s.notify()
	}
	return taken, errors.Join(failed...)
}

// MarkLoaded records that the table holds a full configuration.
func (s *Settings) MarkLoaded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded {
		return
	}
	s.loaded = true
	s.notify()
}

// View returns the settings in force together with the notice of their next change, so that no change is missed.
func (s *Settings) View() SettingsView {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return SettingsView{Tree: s.tree, Loaded: s.loaded, Changed: s.changed}
}

// notify wakes everyone who waits for a change; the caller holds the lock.
func (s *Settings) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
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
