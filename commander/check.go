package commander

import (
	"context"
	"flag"
	"os"

	"github.com/dogwoodweir/dogwoodweir/checker"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/platform"
)

func checkCommand() command {
	var inForce string
	var strict bool
	options := checker.DefaultOptions()
	return command{
		name: "check", arguments: "FILE",
		synopsis: "checks a configuration of the entry daemons before it is published, without a daemon",
		example:  "dogwoodweir check -in-force version-41.json version-42.json",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&inForce, "in-force", "", "file with the version in force, whose differences are shown")
			f.BoolVar(&strict, "strict", false, "fail on warnings, too")
			f.IntVar(&options.ProgramCalls, "program-calls", options.ProgramCalls, "calls that a program of a workspace makes within 5 s, which a quota must admit")
		},
		run: func(_ context.Context, in *invocation) error {
			if len(in.arguments) != 1 {
				return newError("check", KindUsage, nil, "expected one file")
			}
			report, err := check(in.arguments[0], inForce, options)
			if err != nil {
				return err
			}
			if err := in.printReport(report); err != nil {
				return err
			}
			if report.Errors > 0 || strict && report.Warnings > 0 {
				return newError("check", KindInvalid, nil, "%s has %d errors and %d warnings", report.File, report.Errors, report.Warnings)
			}
			return nil
		},
	}
}

// check reads and checks a configuration. Without a file of the version in force, it compares nothing.
func check(file, inForce string, options checker.Options) (*encoder.CheckReport, error) {
	document, form, err := readConfiguration(file)
	if err != nil {
		return nil, err
	}
	findings := checker.Check(&document, form, options)
	readable := checker.Count(form, checker.Error) == 0
	var changes []checker.Change
	if inForce != "" {
		current, currentForm, err := readConfiguration(inForce)
		switch {
		case err != nil:
			return nil, err
		case checker.Count(currentForm, checker.Error) > 0:
			return nil, newError("check", KindInvalid, nil, "%s, the version in force, is no configuration that daemons can read", inForce)
		case readable:
			findings = append(findings, checker.CheckVersion(&current, &document)...)
			checker.Sort(findings)
			changes = checker.Compare(&current, &document)
		}
	}
	return newReport(file, findings, changes), nil
}

func readConfiguration(file string) (checker.Document, []checker.Finding, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return checker.Document{}, nil, newError("check", KindUsage, err, "cannot read %s", file)
	}
	document, form := platform.ReadForm(data)
	return document, form, nil
}

func newReport(file string, findings []checker.Finding, changes []checker.Change) *encoder.CheckReport {
	report := &encoder.CheckReport{
		File: file, Errors: checker.Count(findings, checker.Error), Warnings: checker.Count(findings, checker.Warning),
		Findings: make([]encoder.CheckFinding, 0, len(findings)), Changes: make([]encoder.CheckChange, 0, len(changes)),
	}
	for _, f := range findings {
		report.Findings = append(report.Findings, encoder.CheckFinding{
			Line: f.Line(), Field: f.Field(), Severity: f.Severity().String(), Code: string(f.Code()), Text: f.Text(),
		})
	}
	for _, c := range changes {
		report.Changes = append(report.Changes, encoder.CheckChange{
			Line: c.Line(), Field: c.Field(), Object: c.Object(), Text: c.Text(), Restricts: c.Restricts(),
		})
	}
	return report
}

// printReport prints a line for each finding, in the form that editors understand, and for each change.
func (in *invocation) printReport(report *encoder.CheckReport) error {
	if in.json {
		return in.printJSON(report)
	}
	for _, f := range report.Findings {
		field := f.Field
		if field != "" {
			field += ": "
		}
		in.printText("%s:%d: %s: %s%s [%s]", report.File, f.Line, f.Severity, field, f.Text, f.Code)
	}
	if len(report.Changes) > 0 {
		in.printText("changes (! means that calls may be rejected that are served now):")
	}
	for _, c := range report.Changes {
		mark := " "
		if c.Restricts {
			mark = "!"
		}
		in.printText("%s %s: %s (line %d)", mark, c.Object, c.Text, c.Line)
	}
	in.printText("%s: %d errors, %d warnings, %d changes", report.File, report.Errors, report.Warnings, len(report.Changes))
	return nil
}
