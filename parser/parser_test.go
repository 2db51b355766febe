package parser

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against errors that lack the file, the field or the kind, and against
// invalid files that are accepted.
func TestParseServiceErrors(t *testing.T) {
	tests := []struct {
		name  string
		data  string
		kind  Kind
		field string
	}{
		{"not JSON", `{"name":`, KindSyntax, ""},
		{"text after the object", `{"name":"a","kind":"plain","workspace":"w","targets":{}} x`, KindSyntax, ""},
		{"unknown field", `{"name":"a","kin":"plain"}`, KindUnknownField, "kin"},
		{"wrong type", `{"name":"a","kind":"plain","limits":{"maxTurns":"many"}}`, KindType, "limits.maxTurns"},
		{"bad name", `{"name":"A b","kind":"plain","workspace":"w","targets":{}}`, KindRange, "name"},
		{"bad kind", `{"name":"a","kind":"other","workspace":"w","targets":{}}`, KindRange, "kind"},
		{"no models", `{"name":"a","kind":"model","workspace":"w","targets":{}}`, KindMissing, "models"},
		{"impossible limit", `{"name":"a","kind":"plain","workspace":"w","targets":{},"limits":{"retryRatio":2}}`, KindRange, "limits.retryRatio"},
		{"body limit without effect", `{"name":"a","kind":"plain","workspace":"w","targets":{},"limits":{"maxBodyBytes":8388609}}`, KindRange, "limits.maxBodyBytes"},
		{"relative path", `{"name":"a","kind":"plain","workspace":"w","targets":{},"nonRepeatable":[{"path":"x"}]}`, KindRange, "nonRepeatable[0].path"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseService("f.json", []byte(test.data))
			var parseError *Error
			if !errors.As(err, &parseError) {
				t.Fatalf("Service() error = %v, want *Error", err)
			}
			got := []any{parseError.Kind(), parseError.Field(), parseError.File()}
			if diff := cmp.Diff([]any{test.kind, test.field, "f.json"}, got); diff != "" {
				t.Errorf("error differs (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a non-repeatable call that is treated as repeatable and runs twice.
func TestMayRepeat(t *testing.T) {
	service, err := ParseService("f.json", []byte(`{"name":"a","kind":"plain","workspace":"w","targets":{},
		"nonRepeatable":[{"path":"/payouts*"},{"method":"PUT","path":"/number"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		method, path string
		want         bool
	}{
		{"POST", "/payouts", false},
		{"POST", "/payouts/7", false},
		{"GET", "/payouts/7", true},
		{"PUT", "/number", false},
		{"POST", "/number", true},
		{"put", "/number", false},
	}
	for _, test := range tests {
		if got := MayRepeat(service, test.method, test.path); got != test.want {
			t.Errorf("MayRepeat(%s %s) = %v, want %v", test.method, test.path, got, test.want)
		}
	}
}
