// Package encoder defines the wire types of dogwoodweir: the configuration, log
// records, stored rows and the messages between daemons. The types are generated
// from the JSON schemas in this directory. The generated files are committed, so
// that a build needs no generator.
//
// # Usage
//
// Change a schema, run "make generate" and commit both. The types are plain structs
// for encoding/json; package parser validates the files that operators write.
package encoder
