package checker

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity says how bad a finding is.
type Severity int

const (
	// Warning is a part of a configuration that is probably not meant.
	Warning Severity = iota + 1
	// Error is a part of a configuration that daemons cannot read, that can never take effect, or that
	// contradicts another part.
	Error
)

// String returns "warning" or "error".
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// Code identifies a rule. Codes do not change, so that scripts may rely on them.
type Code string

// Codes of findings. The page docs/OPERATIONS.md explains them.
const (
	CodeSyntax         Code = "syntax"
	CodeWrongType      Code = "wrongType"
	CodeDuplicateField Code = "duplicateField"
	CodeUnknownField   Code = "unknownField"
	CodeFieldSpelling  Code = "fieldSpelling"

	CodeMissing          Code = "missing"
	CodeVersionNotHigher Code = "versionNotHigher"
	CodeOutOfRange       Code = "outOfRange"
	CodeDuplicateName    Code = "duplicateName"

	CodeShadowedRoute     Code = "shadowedRoute"
	CodeUnreachablePrefix Code = "unreachablePrefix"
	CodeUnknownKind       Code = "unknownKind"
	CodeUnknownService    Code = "unknownService"
	CodeNeverChosen       Code = "neverChosen"
	CodeUnusedService     Code = "unusedService"
	CodeWorkspacesUnused  Code = "workspacesUnused"

	CodeObjectiveAboveTimeout   Code = "objectiveAboveTimeout"
	CodeRetryDoesNotFit         Code = "retryDoesNotFit"
	CodeHistoryWithoutRetention Code = "historyWithoutRetention"
	CodeIgnored                 Code = "ignored"

	CodeSharedKey         Code = "sharedKey"
	CodeRepeatedKey       Code = "repeatedKey"
	CodeUnsendableKey     Code = "unsendableKey"
	CodeNoKey             Code = "noKey"
	CodeBurstBelowCall    Code = "burstBelowCall"
	CodeQuotaBelowProgram Code = "quotaBelowProgram"
)

// Finding is a fault of a configuration.
type Finding struct {
	Position
	severity Severity
	code     Code
	text     string
}

// NewFinding returns a finding with a formatted text.
func NewFinding(severity Severity, code Code, at Position, format string, values ...any) Finding {
	return Finding{Position: at, severity: severity, code: code, text: fmt.Sprintf(format, values...)}
}

// Severity returns how bad the finding is.
func (f Finding) Severity() Severity { return f.severity }

// Code returns the rule that the configuration breaks.
func (f Finding) Code() Code { return f.code }

// Text returns what is wrong, in operators' terms.
func (f Finding) Text() string { return f.text }

// Sort sorts findings by their lines, errors of a line first.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(b.severity, a.severity), cmp.Compare(a.field, b.field))
	})
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, s Severity) int {
	count := 0
	for _, f := range findings {
		if f.severity == s {
			count++
		}
	}
	return count
}
