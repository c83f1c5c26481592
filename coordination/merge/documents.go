package merge

import (
	"slices"

	"github.com/guavatrestle/guavatrestle/state/settings"
)

// Documents are the settings documents that a process holds.
type Documents []settings.Document

// Items returns the path and version of each document.
func (d Documents) Items() []Item {
	items := make([]Item, 0, len(d))
	for _, doc := range d {
		items = append(items, Item{Key: doc.Path, Version: doc.Version})
	}
	return items
}

// Select returns the documents at paths until their paths and bodies exceed limit bytes, but at least one. The others are sent
// in a later exchange.
func (d Documents) Select(paths []string, limit int) []settings.Document {
	var out []settings.Document
	size := 0
	for _, doc := range d {
		if !slices.Contains(paths, doc.Path) {
			continue
		}
		size += len(doc.Path) + len(doc.Body)
		if size > limit && len(out) > 0 {
			break
		}
		out = append(out, doc)
	}
	return out
}
