// Package parser reads the files that operators write: the settings of a daemon
// and the service files. Every error names the file, the field and what was
// expected.
//
// # Usage
//
//	settings, err := parser.LoadSettings("dogwoodweird.json")
//	services, err := parser.LoadServices([]string{"examples/lichtbeeld"})
//
// Unknown fields are errors. The defaults are constants of this package. Missing
// values and groups are filled in, so that callers never see a nil group.
package parser
