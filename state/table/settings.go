package table

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"github.com/guavatrestle/guavatrestle/state/settings"
)

// Settings holds the latest version of every settings document, and the decoded tree in force.
type Settings struct {
	mu mutex[rankSettings]
	// documents holds the newest version per path, which is sent to peers.
	documents map[string]settings.Document
	// decodable holds the newest version per path that this process can decode; the tree is built from it.
	decodable map[string]settings.Document
	tree      *settings.Tree
	loaded    bool
	// changed is closed on each change and replaced by a new channel.
	changed chan struct{}
}

// SettingsView is a snapshot of the table.
type SettingsView struct {
	// Tree holds the decoded settings in force; it must not be modified.
	Tree *settings.Tree
	// Loaded is true if the table holds a complete configuration.
	Loaded bool
	// Changed is closed when the table has changed since the snapshot.
	Changed <-chan struct{}
}

// NewSettings returns an empty Settings table.
func NewSettings() *Settings {
	tree, _ := settings.NewTree(nil)
	return &Settings{
		documents: make(map[string]settings.Document),
		decodable: make(map[string]settings.Document),
		tree:      tree,
		changed:   make(chan struct{}),
	}
}

// Merge stores every document that is newer than the one held for its path and returns the documents it stored.
//
// A document that can't be decoded is stored too, so that it is sent to peers, but the last decodable version of its path
// stays in force. The error names every such document.
func (s *Settings) Merge(documents []settings.Document) ([]settings.Document, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stored []settings.Document
	var failed []error
	for _, doc := range documents {
		if held, ok := s.documents[doc.Path]; ok && held.Version >= doc.Version {
			continue
		}
		s.documents[doc.Path] = doc
		stored = append(stored, doc)
		if _, err := settings.NewTree([]settings.Document{doc}); err != nil {
			failed = append(failed, err)
			continue
		}
		s.decodable[doc.Path] = doc
	}
	if len(stored) > 0 {
		s.tree, _ = settings.NewTree(slices.Collect(maps.Values(s.decodable)))
		s.notify()
	}
	return stored, errors.Join(failed...)
}

// MarkLoaded records that the table holds a complete configuration.
func (s *Settings) MarkLoaded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded {
		return
	}
	s.loaded = true
	s.notify()
}

// View returns the settings in force together with the channel that signals their next change, so that no change is missed.
func (s *Settings) View() SettingsView {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return SettingsView{Tree: s.tree, Loaded: s.loaded, Changed: s.changed}
}

// notify wakes all goroutines that wait for a change; the caller holds the lock.
func (s *Settings) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Loaded reports whether the table holds a complete configuration.
func (s *Settings) Loaded() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.loaded
}

// Tree returns the decoded settings in force; callers must not modify it.
func (s *Settings) Tree() *settings.Tree {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.tree
}

// Documents returns the newest version of every document, sorted by path.
func (s *Settings) Documents() []settings.Document {
	s.mu.RLock()
	defer s.mu.RUnlock()
	documents := slices.Collect(maps.Values(s.documents))
	slices.SortFunc(documents, func(a, b settings.Document) int { return strings.Compare(a.Path, b.Path) })
	return documents
}
