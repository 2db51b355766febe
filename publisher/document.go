package publisher

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// Prefixes of section names.
const (
	servicePrefix   = "service/"
	workspacePrefix = "workspace/"
	drainPrefix     = "drain/"
)

// Kinds of changes.
const (
	ChangeAdded   = "added"
	ChangeChanged = "changed"
	ChangeRemoved = "removed"
)

// ReplaceServices returns a document in which the given services replace all services
// of the given workspaces and of the workspaces that the services belong to. The other
// sections stay as they are. Publish sets the versions of the sections.
func ReplaceServices(current encoder.Document, services []encoder.Service, workspaces []string) encoder.Document {
	replaced := map[string]bool{}
	for _, name := range workspaces {
		replaced[name] = true
	}
	for _, service := range services {
		replaced[service.Workspace] = true
	}
	var sections []encoder.Section
	for _, section := range current.Sections {
		if section.Service != nil && replaced[section.Service.Workspace] {
			continue
		}
		if !section.Deleted {
			sections = append(sections, section)
		}
	}
	for _, service := range services {
		sections = append(sections, encoder.Section{Name: servicePrefix + service.Name, Service: &service})
	}
	return sortedDocument(sections)
}

// WithDrain returns a document in which the host or target is drained: it gets no new
// work.
func WithDrain(current encoder.Document, host, reason string) encoder.Document {
	sections := sectionsWithout(current, drainPrefix+host)
	sections = append(sections, encoder.Section{Name: drainPrefix + host, Drain: &encoder.Drain{Host: host, Reason: reason}})
	return sortedDocument(sections)
}

// WithoutDrain returns a document in which the host or target is no longer drained.
func WithoutDrain(current encoder.Document, host string) encoder.Document {
	return sortedDocument(sectionsWithout(current, drainPrefix+host))
}

// Drained returns the drained hosts and targets in order of name.
func Drained(document encoder.Document) []string {
	var hosts []string
	for _, section := range document.Sections {
		if section.Drain != nil && !section.Deleted {
			hosts = append(hosts, section.Drain.Host)
		}
	}
	return hosts
}

// Services returns the services of the document in order of name.
func Services(document encoder.Document) []encoder.Service {
	var services []encoder.Service
	for _, section := range document.Sections {
		if section.Service != nil && !section.Deleted {
			services = append(services, *section.Service)
		}
	}
	return services
}

// Apply returns the document with a delta applied: a changed section replaces the one
// of the same name, and a deleted section is removed.
func Apply(document encoder.Document, version int, changed []encoder.Section) encoder.Document {
	names := map[string]bool{}
	for _, section := range changed {
		names[section.Name] = true
	}
	sections := slices.DeleteFunc(slices.Clone(document.Sections), func(s encoder.Section) bool { return names[s.Name] })
	for _, section := range changed {
		if !section.Deleted {
			sections = append(sections, section)
		}
	}
	next := sortedDocument(sections)
	next.Version = version
	return next
}

// Diff lists the changes from one document to another in order of section name.
func Diff(before, after encoder.Document) []encoder.Change {
	beforeTexts, afterTexts := sectionTexts(before), sectionTexts(after)
	var changes []encoder.Change
	for name, text := range beforeTexts {
		next, ok := afterTexts[name]
		switch {
		case !ok:
			changes = append(changes, encoder.Change{Section: name, Kind: ChangeRemoved, Before: text})
		case next != text:
			changes = append(changes, encoder.Change{Section: name, Kind: ChangeChanged, Before: text, After: next})
		}
	}
	for name, text := range afterTexts {
		if _, ok := beforeTexts[name]; !ok {
			changes = append(changes, encoder.Change{Section: name, Kind: ChangeAdded, After: text})
		}
	}
	slices.SortFunc(changes, func(a, b encoder.Change) int { return strings.Compare(a.Section, b.Section) })
	return changes
}

// Revert undoes an audit record: it returns the document at the version before it.
func Revert(document encoder.Document, record encoder.AuditRecord) (encoder.Document, error) {
	var sections []encoder.Section
	for _, change := range record.Changes {
		section, err := decodeSection(change.Section, change.Before)
		if err != nil {
			return encoder.Document{}, err
		}
		sections = append(sections, section)
	}
	return Apply(document, record.From, sections), nil
}

// decodeSection decodes the section before or after a change. An empty text means that
// the section does not exist on that side and gives a deleted section.
func decodeSection(name, text string) (encoder.Section, error) {
	if text == "" {
		return encoder.Section{Name: name, Deleted: true}, nil
	}
	var section encoder.Section
	if err := json.Unmarshal([]byte(text), &section); err != nil {
		return section, &Error{operation: "decode section", kind: KindInvalid, cause: err}
	}
	return section, nil
}

// Check returns an error of KindInvalid for a document that must not be published.
func Check(document encoder.Document) error {
	seen := map[string]bool{}
	for _, section := range document.Sections {
		if err := checkSection(section); err != nil {
			return &Error{operation: "check", kind: KindInvalid, cause: err}
		}
		if seen[section.Name] {
			return &Error{operation: "check", kind: KindInvalid, cause: fmt.Errorf("section %q occurs more than once", section.Name)}
		}
		seen[section.Name] = true
	}
	return nil
}

func checkSection(section encoder.Section) error {
	want := ""
	set := 0
	if section.Service != nil {
		want = servicePrefix + section.Service.Name
		set++
	}
	if section.Workspace != nil {
		want = workspacePrefix + section.Workspace.Name
		set++
	}
	if section.Drain != nil {
		want = drainPrefix + section.Drain.Host
		set++
	}
	if set != 1 {
		return fmt.Errorf("section %q sets %d of service, workspace and drain, expected exactly one", section.Name, set)
	}
	if section.Name != want {
		return fmt.Errorf("section %q has the content of section %q", section.Name, want)
	}
	return nil
}

// sectionsWithout returns the sections except the named one and the deleted ones.
func sectionsWithout(document encoder.Document, name string) []encoder.Section {
	return slices.DeleteFunc(slices.Clone(document.Sections), func(s encoder.Section) bool {
		return s.Name == name || s.Deleted
	})
}

// sortedDocument sorts the sections by name and returns a document of them.
func sortedDocument(sections []encoder.Section) encoder.Document {
	slices.SortFunc(sections, func(a, b encoder.Section) int { return strings.Compare(a.Name, b.Name) })
	return encoder.Document{Sections: sections}
}

// sectionTexts maps the names of sections to their JSON without the version.
func sectionTexts(document encoder.Document) map[string]string {
	texts := map[string]string{}
	for _, section := range document.Sections {
		if section.Deleted {
			continue
		}
		section.Version = 0
		text, err := json.Marshal(section)
		if err != nil {
			// Sections are plain data; encoding/json cannot fail on them.
			panic(err)
		}
		texts[section.Name] = string(text)
	}
	return texts
}
