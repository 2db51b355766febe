package checker_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/checker"
	"github.com/dogwoodweir/dogwoodweir/platform"
)

func readFile(t *testing.T, name string) (checker.Document, []checker.Finding) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return platform.ReadForm(data)
}

// Guards against faults that are not found, found in another line, or found where there is none.
func TestCheck(t *testing.T) {
	tests := []struct {
		file string
		want []string
	}{
		{"valid.json", nil},
		{"next.json", nil},
		{"routes.json", []string{
			"5 error routes[1] shadowedRoute",
			"7 error routes[3].prefix unreachablePrefix",
			"8 error routes[4].kind unknownKind",
			"8 warning routes[4].name duplicateName",
			"9 error routes[5].host missing",
			"10 error routes[6].service unknownService",
			"10 warning routes[6].name missing",
			"11 error routes[7].service missing",
			"12 warning routes[8].service ignored",
			"14 warning routes[8].split[1].weight neverChosen",
			"15 error routes[8].split[2].service unknownService",
			"15 error routes[8].split[2].weight outOfRange",
			"17 error routes[9].split[0].weight neverChosen",
			"21 error services[1].engine.slots outOfRange",
			"22 error services[2].max_conns outOfRange",
			"22 error services[2].name duplicateName",
			"23 error services[3].name missing",
			"24 warning services[4].name unusedService",
		}},
		{"times.json", []string{
			"6 error routes[0].slo_ms objectiveAboveTimeout",
			"8 warning routes[1].max_attempts retryDoesNotFit",
			"12 warning routes[3].max_attempts retryDoesNotFit",
			"16 warning routes[5].max_attempts ignored",
			"18 error routes[6].retain_history historyWithoutRetention",
			"20 warning routes[7].retain_history ignored",
			"21 warning routes[7].resumable ignored",
			"22 warning routes[7].target_gap_ms ignored",
			"24 warning routes[8].retention_s ignored",
			"25 warning routes[8].target_gap_ms ignored",
			"27 error routes[9].timeout_ms outOfRange",
			"28 error routes[9].priority outOfRange",
			"32 error limits.body_bytes outOfRange",
		}},
		{"workspaces.json", []string{
			"6 warning tenants[0] workspacesUnused",
			"8 warning tenants[0].api_keys[1] repeatedKey",
			"9 warning tenants[0].api_keys[2] ignored",
			"10 warning tenants[1] noKey",
			"11 error tenants[1].api_keys[0] sharedKey",
			"12 error tenants[2].name duplicateName",
			"12 warning tenants[2] noKey",
			"13 error tenants[2].api_keys[0] unsendableKey",
			"14 error tenants[2].api_keys[1] unsendableKey",
			"15 error tenants[3].name missing",
			"17 warning tenants[4].burst ignored",
			"18 error tenants[5].rate_per_s quotaBelowProgram",
			"19 error tenants[5].burst burstBelowCall",
			"21 error tenants[6].rate_per_s outOfRange",
		}},
		{"form.json", []string{
			"2 error version wrongType",
			"4 warning routes[0].host fieldSpelling",
			"5 warning routes[0].timeout unknownField",
			"6 error routes[0].priority wrongType",
			"7 error routes[0].public wrongType",
			"8 error routes[0].host duplicateField",
			"9 error routes[1] wrongType",
			"11 error services wrongType",
			"12 error limits wrongType",
			"14 error tenants[0].api_keys wrongType",
			"16 error tenants[1].api_keys[0] wrongType",
		}},
		{"syntax.json", []string{
			"4 error  syntax",
		}},
		{"truncated.json", []string{
			"2 error  syntax",
		}},
		{"list.json", []string{
			"1 error  wrongType",
		}},
		{"empty.json", []string{
			"1 error version missing",
			"1 warning version missing",
		}},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			d, findings := readFile(t, test.file)
			findings = checker.Check(&d, findings, checker.DefaultOptions())
			var got []string
			for _, f := range findings {
				got = append(got, fmt.Sprintf("%d %v %s %s", f.Line(), f.Severity(), f.Field(), f.Code()))
				if strings.Contains(f.Text(), "secret") {
					t.Errorf("finding shows a key: %s", f.Text())
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("findings differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a quota that the programs of its workspace exceed, which the rules cannot know by themselves.
func TestProgramCalls(t *testing.T) {
	tests := []struct {
		calls int
		want  []string
	}{
		{1, nil},
		{2600, []string{"acme"}},
	}
	for _, test := range tests {
		d, form := readFile(t, "next.json")
		options := checker.DefaultOptions()
		options.ProgramCalls = test.calls
		var got []string
		for _, f := range checker.Check(&d, form, options) {
			if f.Code() == checker.CodeQuotaBelowProgram {
				got = append(got, d.Workspaces[0].Name.Value())
			}
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("workspaces whose quota is below %d calls differ (-want +got):\n%s", test.calls, diff)
		}
	}
}

// Guards against differences that operators do not see before they publish. An exclamation mark says that
// calls may be rejected that are served now.
func TestCompare(t *testing.T) {
	tests := []struct {
		name          string
		inForce, next string
		want          []string
	}{
		{"same", "valid.json", "valid.json", nil},
		{"changed", "valid.json", "next.json", []string{
			"2 version: 41 → 42",
			`5 route "chat": timeout 6s → 5s!`,
			`7 route "prices": services prices:90 prices-next:10 → prices:50 prices-next:50`,
			`9 route "pay": prefix /pay/ → /pay/v2/!`,
			`10 route "status": added`,
			`2 route "health": removed!`,
			`13 service "llm": slots of an engine 8 → 16`,
			`21 workspace "acme": requests a second 300 → 200!`,
			`20 workspace "acme": keys added: 1`,
			`20 workspace "acme": keys removed: 1!`,
			`22 workspace "new": added`,
			`2 workspace "free": removed!`,
			"18 limits: bytes of a request body 4194304 → 1048576!",
		}},
		{"first workspaces", "empty.json", "workspaces-only.json", []string{
			"2 version: 0 → 1",
			`3 workspace "acme": added`,
			"2 workspaces: calls of routes that are not public need a key from now on!",
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inForce, _ := readFile(t, test.inForce)
			next, _ := readFile(t, test.next)
			var got []string
			for _, c := range checker.Compare(&inForce, &next) {
				text := fmt.Sprintf("%d %s: %s", c.Line(), c.Object(), c.Text())
				if c.Restricts() {
					text += "!"
				}
				got = append(got, text)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("changes differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a configuration that is published and never takes effect.
func TestVersionMustRise(t *testing.T) {
	tests := []struct {
		inForce, next string
		want          []checker.Code
	}{
		{"valid.json", "next.json", nil},
		{"valid.json", "valid.json", []checker.Code{checker.CodeVersionNotHigher}},
		{"next.json", "valid.json", []checker.Code{checker.CodeVersionNotHigher}},
	}
	for _, test := range tests {
		inForce, _ := readFile(t, test.inForce)
		next, _ := readFile(t, test.next)
		var got []checker.Code
		for _, f := range checker.CheckVersion(&inForce, &next) {
			got = append(got, f.Code())
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("findings of %s after %s differ (-want +got):\n%s", test.next, test.inForce, diff)
		}
	}
}
