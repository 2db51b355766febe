// Package checker finds faults in a configuration of routes, services and workspaces before it is
// published, and tells how it differs from the version in force.
//
// # Usage
//
// A reader of the configuration's form, such as platform.ReadForm, gives a Document, whose fields know the
// lines that they come from, and the findings about the form itself:
//
//	document, form := platform.ReadForm(data)
//	findings := checker.Check(&document, form, checker.DefaultOptions())
//	changes := checker.Compare(&inForce, &document)
//
// Findings have a severity and a code that stays the same. An error is a part of the configuration that
// daemons cannot read, that can never take effect, or that contradicts another part. A warning is a part
// that is probably not meant.
//
// The package does no I/O and knows no name of the form: fields bring their names along. Keys of
// workspaces are known as hashes only and appear in no text.
package checker
