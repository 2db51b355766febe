// Package publisher puts configuration into force: it builds a document from
// service files, shows what differs, writes a new version by compare-and-set
// together with an audit record, and reads versions and deltas back.
//
// # Layout in the table service
//
// Table "config" has a small row "head" with the version in force and one row
// "section/<name>" for each section. Table "audit" has one row for each version.
// One transaction writes the head, the changed sections and the audit row on the
// condition that the head has the version that the publisher has read. A change
// therefore costs bytes for what it changes, and a poll reads one small row.
//
// # Usage
//
//	store := publisher.New(tables, clock)
//	current, err := store.Document(ctx)
//	next := publisher.ReplaceServices(current, services, []string{"lichtbeeld"})
//	version, err := store.Publish(ctx, publisher.Proposal{
//		From: current.Version, Operator: "anna", Action: publisher.ActionPublish, Document: next,
//	})
//	if publisher.IsConflict(err) { /* somebody else published: nothing changed */ }
package publisher
