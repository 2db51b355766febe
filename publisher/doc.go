// Package publisher publishes the configuration: it builds a document from service
// files, lists the differences, writes a new version by compare-and-set together with
// an audit record, and reads versions and deltas back.
//
// # Layout in the table service
//
// Table "config" has a small row "head" with the current version and one row
// "section/<name>" for each section. Table "audit" has one row for each version.
// One transaction writes the head, the changed sections and the audit row on the
// condition that the head still has the version that the publisher read. Publishing
// therefore writes only the changed sections, and a poll reads one small row.
//
// # Usage
//
//	store := publisher.New(tables, clock)
//	current, err := store.Document(ctx)
//	next := publisher.ReplaceServices(current, services, []string{"lichtbeeld"})
//	version, err := store.Publish(ctx, publisher.Proposal{
//		From: current.Version, Operator: "anna", Action: publisher.ActionPublish, Document: next,
//	})
//	if publisher.IsConflict(err) { /* another operator published first; nothing changed */ }
package publisher
