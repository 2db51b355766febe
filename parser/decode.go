package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"strings"

	"github.com/rotisserie/eris"
)

// decode reads one JSON value and returns an error for unknown fields and for text
// after the value. The error names the file, the field and what was expected.
func decode(operation, file string, data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return decodeError(operation, file, value, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &Error{operation: operation, kind: KindSyntax, file: file, expected: "nothing after the JSON value"}
	}
	return nil
}

func decodeError(operation, file string, value any, err error) *Error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &Error{
			operation: operation, kind: KindType, file: file, field: typeError.Field,
			expected: typeError.Type.String() + " instead of " + typeError.Value,
		}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &Error{
			operation: operation, kind: KindUnknownField, file: file, field: strings.Trim(name, `"`),
			expected: "one of " + strings.Join(fieldNames(reflect.TypeOf(value), map[reflect.Type]bool{}), ", "),
		}
	}
	return &Error{operation: operation, kind: KindSyntax, file: file, expected: "one JSON object", cause: eris.Wrap(err, "decode")}
}

// fieldNames lists the JSON names of a struct's fields, nested ones included, in order
// of declaration. seen prevents endless recursion on recursive types.
func fieldNames(t reflect.Type, seen map[reflect.Type]bool) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || seen[t] {
		return nil
	}
	seen[t] = true
	var names []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		names = append(names, name)
		for _, inner := range fieldNames(t.Field(i).Type, seen) {
			names = append(names, name+"."+inner)
		}
	}
	return names
}
