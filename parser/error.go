package parser

import "fmt"

// Kind classifies what is wrong with a file.
type Kind int

const (
	// KindUnreadable means that the file could not be read.
	KindUnreadable Kind = iota + 1
	// KindSyntax means that the file is not JSON.
	KindSyntax
	// KindUnknownField means that the file has a field that does not exist.
	KindUnknownField
	// KindType means that a field has a value of the wrong type.
	KindType
	// KindMissing means that a required field is absent.
	KindMissing
	// KindRange means that a value is not allowed.
	KindRange
	// KindDuplicate means that a name occurs more than once.
	KindDuplicate
)

var kindNames = map[Kind]string{
	KindUnreadable:   "unreadable",
	KindSyntax:       "syntax",
	KindUnknownField: "unknownField",
	KindType:         "type",
	KindMissing:      "missing",
	KindRange:        "range",
	KindDuplicate:    "duplicate",
}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Error reports which field of which file is wrong and what was expected.
type Error struct {
	operation string
	kind      Kind
	file      string
	field     string
	expected  string
	cause     error
}

// Operation returns what was being parsed, such as "settings" or "service".
func (e *Error) Operation() string { return e.operation }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// File returns the file's name.
func (e *Error) File() string { return e.file }

// Field returns the field's path, such as "limits.maxTurns".
func (e *Error) Field() string { return e.field }

// Error names the file, the field and what was expected.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.operation, e.file)
	if e.field != "" {
		text += fmt.Sprintf(": field %q", e.field)
	}
	text += ": " + e.kind.String()
	if e.expected != "" {
		text += ": expected " + e.expected
	}
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
