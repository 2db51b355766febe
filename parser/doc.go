// Package parser reads the files that people write: the settings of a daemon and
// the service files of operators. Every error names the file, the field and what
// was expected.
//
// # Usage
//
//	settings, err := parser.LoadSettings("dogwoodweird.json")
//	services, err := parser.LoadServices([]string{"examples/lichtbeeld"})
//
// Unknown fields are errors. Defaults are declared as constants of this package
// and are filled in, so that the rest of the program never sees a missing group.
package parser
