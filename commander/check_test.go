package commander

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// checkedFile returns the path of a file of package checker's tests.
func checkedFile(name string) string { return filepath.Join("..", "checker", "testdata", name) }

// Guards against exit codes by which a script would send a configuration with errors, or hold back one
// without, and against keys in the output.
func TestCheckExitCodes(t *testing.T) {
	valid, next, routes := checkedFile("valid.json"), checkedFile("next.json"), checkedFile("routes.json")
	warnings := filepath.Join(t.TempDir(), "warnings.json")
	if err := os.WriteFile(warnings, []byte(`{"version": 1, "routes": [], "colour": 1}`), 0o644); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name      string
		arguments []string
		want      int
		contains  string
	}{
		{"no fault", []string{valid}, 0, "0 errors, 0 warnings, 0 changes"},
		{"errors", []string{routes}, 5, "routes.json:5: error: routes[1]: route can never match"},
		{"no JSON", []string{checkedFile("syntax.json")}, 5, "syntax.json:4: error: not JSON"},
		{"warnings", []string{warnings}, 0, "warnings.json:1: warning: colour: daemons do not know the field [unknownField]"},
		{"warnings count", []string{"-strict", warnings}, 5, "0 errors and 2 warnings"},
		{"differences", []string{"-in-force", valid, next}, 0, "! workspace \"acme\": requests a second 300 → 200 (line 21)"},
		{"older version", []string{"-in-force", next, valid}, 5, "[versionNotHigher]"},
		{"unreadable version in force", []string{"-in-force", checkedFile("list.json"), valid}, 5, "list.json, the version in force"},
		{"errors and a version in force", []string{"-in-force", valid, checkedFile("form.json")}, 5, "[wrongType]"},
		{"quota below a program", []string{"-program-calls", "2600", next}, 5, "[quotaBelowProgram]"},
		{"no file", nil, 2, "expected one file"},
		{"missing file", []string{"nowhere.json"}, 2, "cannot read nowhere.json"},
		{"missing version in force", []string{"-in-force", "nowhere.json", valid}, 2, "cannot read nowhere.json"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, out := runTool(t, "", append([]string{"check"}, test.arguments...)...)
			if code != test.want || !strings.Contains(out, test.contains) {
				t.Errorf("exit code %d, want %d; output:\n%s\nwant in it: %s", code, test.want, out, test.contains)
			}
			if strings.Contains(out, "secret") {
				t.Errorf("output shows a key:\n%s", out)
			}
		})
	}
}

// Guards against a report in JSON that differs from what scripts read.
func TestCheckReport(t *testing.T) {
	out := func(arguments ...string) encoder.CheckReport {
		_, text := runTool(t, "", append([]string{"check", "-json"}, arguments...)...)
		var report encoder.CheckReport
		if err := json.NewDecoder(strings.NewReader(text)).Decode(&report); err != nil {
			t.Fatalf("%v in:\n%s", err, text)
		}
		return report
	}
	file := checkedFile("syntax.json")
	want := encoder.CheckReport{
		File: file, Errors: 1, Changes: []encoder.CheckChange{}, Findings: []encoder.CheckFinding{{
			Line: 4, Severity: "error", Code: "syntax", Text: "not JSON: invalid character '}' looking for beginning of object key string",
		}},
	}
	if diff := cmp.Diff(want, out(file)); diff != "" {
		t.Errorf("report differs (-want +got):\n%s", diff)
	}
	changes := out("-in-force", checkedFile("valid.json"), checkedFile("next.json")).Changes
	first := encoder.CheckChange{Line: 5, Field: "routes[0].timeout_ms", Object: `route "chat"`, Text: "timeout 6s → 5s", Restricts: true}
	if len(changes) != 13 {
		t.Fatalf("%d changes, want 13", len(changes))
	}
	if diff := cmp.Diff(first, changes[1]); diff != "" {
		t.Errorf("change differs (-want +got):\n%s", diff)
	}
}
