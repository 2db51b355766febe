package distributor

import (
	"maps"
	"slices"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// document holds the sections in force and, for deltas, the deleted ones.
type document struct {
	version  int
	sections map[string]encoder.Section
	deleted  map[string]int
	// floor is the version up to which deleted sections are not known; a peer with
	// a lower version gets the whole document.
	floor int
}

func newDocument() document {
	return document{sections: map[string]encoder.Section{}, deleted: map[string]int{}}
}

// apply puts the changes after a version into force; from 0 replaces everything.
func (d *document) apply(version, from int, sections []encoder.Section, maxDeleted int) {
	if from == 0 {
		*d = newDocument()
		d.floor = version
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
		d.forgetDeleted()
	}
}

func (d *document) forgetDeleted() {
	oldest, version := "", 0
	for _, name := range slices.Sorted(maps.Keys(d.deleted)) {
		if v := d.deleted[name]; oldest == "" || v < version {
			oldest, version = name, v
		}
	}
	delete(d.deleted, oldest)
	d.floor = max(d.floor, version)
}

// delta returns what changed after a version, or everything after version 0. For
// a version below the floor it returns a delta that leads nowhere: the store has
// the changes, and the whole document is large.
func (d *document) delta(from int) encoder.Delta {
	if from > 0 && (from < d.floor || from > d.version) {
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

// snapshot returns the document in force, its sections in order of name.
func (d *document) snapshot() encoder.Document {
	out := encoder.Document{Version: d.version, Sections: make([]encoder.Section, 0, len(d.sections))}
	for _, name := range slices.Sorted(maps.Keys(d.sections)) {
		out.Sections = append(out.Sections, d.sections[name])
	}
	return out
}
