package table

import (
	"maps"
	"slices"
	"strings"

	"github.com/guavatrestle/guavatrestle/state/settings"
)

// Settings holds the settings documents in force, highest version per path.
type Settings struct {
	mu        mutex[rankSettings]
	documents map[string]settings.Document
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
	return &Settings{documents: make(map[string]settings.Document), tree: tree, changed: make(chan struct{})}
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
	s.notify()
	return taken, nil
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
