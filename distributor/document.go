package distributor

import (
	"maps"
	"slices"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// document holds the sections of the current version and, for deltas, the versions
// in which sections were deleted.
type document struct {
	version  int
	sections map[string]encoder.Section
	deleted  map[string]int
	// minDeltaFrom is the lowest version from which a delta is complete: deletions up
	// to this version are not known.
	minDeltaFrom int
}

func newDocument() document {
	return document{sections: map[string]encoder.Section{}, deleted: map[string]int{}}
}

// apply moves the document to a version by the sections that changed after from.
// From 0 replaces the whole document.
func (d *document) apply(version, from int, sections []encoder.Section, maxDeleted int) {
	if from == 0 {
		*d = newDocument()
		d.minDeltaFrom = version
	}
	d.version = version
	for _, section := range sections {
		if d.sections[section.Name].Version > section.Version || d.deleted[section.Name] > section.Version {
			continue
		}
		if section.Deleted {
			delete(d.sections, section.Name)
			d.deleted[section.Name] = section.Version
			continue
		}
		delete(d.deleted, section.Name)
		d.sections[section.Name] = section
	}
	for len(d.deleted) > maxDeleted {
		d.dropOldestDeleted()
	}
}

// dropOldestDeleted drops the deletion with the lowest version and raises
// minDeltaFrom to it.
func (d *document) dropOldestDeleted() {
	oldest, version := "", 0
	for _, name := range slices.Sorted(maps.Keys(d.deleted)) {
		if v := d.deleted[name]; oldest == "" || v < version {
			oldest, version = name, v
		}
	}
	delete(d.deleted, oldest)
	d.minDeltaFrom = max(d.minDeltaFrom, version)
}

// delta returns the sections that changed after a version, or all sections for
// version 0. If the version is below minDeltaFrom or above the current one, it
// returns an empty delta that keeps the version: the peer can get the changes from
// the store, and the whole document is large.
func (d *document) delta(from int) encoder.Delta {
	if from > 0 && (from < d.minDeltaFrom || from > d.version) {
		return encoder.Delta{From: from, To: from, Sections: []encoder.Section{}}
	}
	delta := encoder.Delta{From: from, To: d.version, Sections: []encoder.Section{}}
	for _, name := range slices.Sorted(maps.Keys(d.sections)) {
		if section := d.sections[name]; section.Version > from || from == 0 {
			delta.Sections = append(delta.Sections, section)
		}
	}
	if from == 0 {
		return delta
	}
	for _, name := range slices.Sorted(maps.Keys(d.deleted)) {
		if version := d.deleted[name]; version > from {
			delta.Sections = append(delta.Sections, encoder.Section{Name: name, Version: version, Deleted: true})
		}
	}
	return delta
}

// snapshot returns the current document with its sections in order of name.
func (d *document) snapshot() encoder.Document {
	out := encoder.Document{Version: d.version, Sections: make([]encoder.Section, 0, len(d.sections))}
	for _, name := range slices.Sorted(maps.Keys(d.sections)) {
		out.Sections = append(out.Sections, d.sections[name])
	}
	return out
}
