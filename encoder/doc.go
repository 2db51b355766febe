// Package encoder holds the wire types of dogwoodweir: configuration, log
// records and the messages between daemons. The types are generated from the
// JSON schemas beside this file and are committed, so a build needs no generator.
//
// # Usage
//
// Change a schema, run "make generate" and commit both. Types are plain structs
// for encoding/json; package parser checks the files that people write.
package encoder
