package parser

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// ServiceFileName is the name of each file that describes a service.
const ServiceFileName = "dogwoodweir.json"

// Kinds of services.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Defaults of a service.
const (
	DefaultMaxConcurrency     = 64
	DefaultMaxQueue           = 256
	DefaultMaxTurns           = 72
	DefaultMaxHistoryTokens   = 250_000
	DefaultMaxTokensPerCall   = 4_096
	DefaultMaxBodyBytes       = 4 << 20
	DefaultRetryRatio         = 0.1
	DefaultConnectTimeoutMs   = 500
	DefaultCallTimeoutMs      = 120_000
	DefaultStallTimeoutMs     = 15_000
	DefaultKeyRetentionMs     = 7 * 24 * 3_600_000
	DefaultProgramRetentionMs = 7 * 24 * 3_600_000
	DefaultIdleTimeoutMs      = 24 * 3_600_000
)

// MaxBodyBytes is the highest allowed value of limits.maxBodyBytes. Daemons read no larger body: a
// small host can hold some tens of requests of this size at once, and a message between daemons
// has the same limit.
const MaxBodyBytes = 8 << 20

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ParseService parses and checks one service file and fills in the defaults.
func ParseService(file string, data []byte) (encoder.Service, error) {
	var service encoder.Service
	if err := decode("service", file, data, &service); err != nil {
		return encoder.Service{}, err
	}
	if err := checkService(file, &service); err != nil {
		return encoder.Service{}, err
	}
	FillDefaults(&service)
	return service, nil
}

// LoadServices reads all service files in and below the directories and returns the
// services sorted by name. Two files that describe a service of the same name are an
// error; a file that is found more than once is read once.
func LoadServices(directories []string) ([]encoder.Service, error) {
	var services []encoder.Service
	pathByName := map[string]string{}
	for _, directory := range directories {
		paths, err := findServiceFiles(directory)
		if err != nil {
			return nil, err
		}
		for _, path := range paths {
			data, err := os.ReadFile(path)
			if err != nil {
				return nil, &Error{operation: "service", kind: KindUnreadable, file: path, cause: err}
			}
			service, err := ParseService(path, data)
			if err != nil {
				return nil, err
			}
			if firstPath, ok := pathByName[service.Name]; ok && firstPath != path {
				return nil, &Error{
					operation: "service", kind: KindDuplicate, file: path, field: "name",
					expected: fmt.Sprintf("a name other than %q, which is used in %s", service.Name, firstPath),
				}
			}
			if _, ok := pathByName[service.Name]; ok {
				continue
			}
			pathByName[service.Name] = path
			services = append(services, service)
		}
	}
	slices.SortFunc(services, func(a, b encoder.Service) int { return strings.Compare(a.Name, b.Name) })
	return services, nil
}

func findServiceFiles(directory string) ([]string, error) {
	var paths []string
	err := filepath.WalkDir(directory, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !entry.IsDir() && entry.Name() == ServiceFileName {
			paths = append(paths, filepath.Clean(path))
		}
		return nil
	})
	if err != nil {
		return nil, &Error{operation: "service", kind: KindUnreadable, file: directory, cause: err}
	}
	if len(paths) == 0 {
		return nil, &Error{operation: "service", kind: KindMissing, file: directory, expected: "a file " + ServiceFileName + " in or below the directory"}
	}
	return paths, nil
}

func checkService(file string, s *encoder.Service) error {
	fail := func(kind Kind, field, expected string) error {
		return &Error{operation: "service", kind: kind, file: file, field: field, expected: expected}
	}
	if !namePattern.MatchString(s.Name) {
		return fail(KindRange, "name", "1 to 63 lower-case letters, digits and hyphens")
	}
	if !namePattern.MatchString(s.Workspace) {
		return fail(KindRange, "workspace", "1 to 63 lower-case letters, digits and hyphens")
	}
	switch s.Kind {
	case KindModel:
		if len(s.Models) == 0 {
			return fail(KindMissing, "models", "at least one model for a service of kind model")
		}
		if len(s.NonRepeatable) > 0 {
			return fail(KindRange, "nonRepeatable", "no patterns for a service of kind model")
		}
	case KindPlain:
		if len(s.Models) > 0 {
			return fail(KindRange, "models", "no models for a service of kind plain")
		}
	default:
		return fail(KindRange, "kind", `"model" or "plain"`)
	}
	seen := map[string]bool{}
	for i, model := range s.Models {
		if model.Name == "" || seen[model.Name] {
			return fail(KindDuplicate, fmt.Sprintf("models[%d].name", i), "a name that no other model of the service has")
		}
		seen[model.Name] = true
	}
	for i, pattern := range s.NonRepeatable {
		if !strings.HasPrefix(pattern.Path, "/") {
			return fail(KindRange, fmt.Sprintf("nonRepeatable[%d].path", i), "a path that starts with /")
		}
	}
	for _, r := range fieldRanges(s) {
		if r.value < r.minimum || r.value > r.maximum {
			return fail(KindRange, r.field, fmt.Sprintf("%g to %g", r.minimum, r.maximum))
		}
	}
	return nil
}

// fieldRange is a numeric field with the smallest and largest allowed value.
type fieldRange struct {
	field                   string
	value, minimum, maximum float64
}

// fieldRanges lists the numeric fields of the groups that are present.
func fieldRanges(s *encoder.Service) []fieldRange {
	var ranges []fieldRange
	add := func(field string, value, low, high float64) {
		ranges = append(ranges, fieldRange{field: field, value: value, minimum: low, maximum: high})
	}
	if l := s.Limits; l != nil {
		add("limits.maxConcurrency", float64(l.MaxConcurrency), 0, 4096)
		add("limits.maxQueue", float64(l.MaxQueue), 0, 100_000)
		add("limits.requestsPerSec", l.RequestsPerSec, 0, 100_000)
		add("limits.maxTurns", float64(l.MaxTurns), 0, 10_000)
		add("limits.maxHistoryTokens", float64(l.MaxHistoryTokens), 0, 2_000_000)
		add("limits.maxTokensPerCall", float64(l.MaxTokensPerCall), 0, 200_000)
		add("limits.maxBodyBytes", float64(l.MaxBodyBytes), 0, MaxBodyBytes)
		add("limits.retryRatio", l.RetryRatio, 0, 1)
	}
	if b := s.Budget; b != nil {
		add("budget.tokens", float64(b.Tokens), 0, 1e12)
		add("budget.cost", b.Cost, 0, 1e12)
		add("budget.turns", float64(b.Turns), 0, 1e6)
		add("budget.timeMs", float64(b.TimeMs), 0, 1e12)
	}
	if t := s.Timeouts; t != nil {
		add("timeouts.connectMs", float64(t.ConnectMs), 0, 60_000)
		add("timeouts.callMs", float64(t.CallMs), 0, 24*3_600_000)
		add("timeouts.silenceMs", float64(t.SilenceMs), 0, 3_600_000)
	}
	if r := s.Retention; r != nil {
		add("retention.keysMs", float64(r.KeysMs), 0, 1e12)
		add("retention.programsMs", float64(r.ProgramsMs), 0, 1e12)
		add("retention.idleMs", float64(r.IdleMs), 0, 1e12)
	}
	if w := s.Weights; w != nil {
		add("weights.cache", w.Cache, 0, 1_000)
		add("weights.link", w.Link, 0, 1_000)
	}
	return ranges
}

// FillDefaults creates the missing groups of the service and replaces every value
// of zero that has a default.
func FillDefaults(s *encoder.Service) {
	if s.Targets.Role == "" {
		s.Targets.Role = s.Name
	}
	s.Limits = newIfNil(s.Limits)
	s.Budget = newIfNil(s.Budget)
	s.Timeouts = newIfNil(s.Timeouts)
	s.Retention = newIfNil(s.Retention)
	s.Weights = newIfNil(s.Weights)
	setDefault(&s.Limits.MaxConcurrency, DefaultMaxConcurrency)
	setDefault(&s.Limits.MaxQueue, DefaultMaxQueue)
	setDefault(&s.Limits.MaxTurns, DefaultMaxTurns)
	setDefault(&s.Limits.MaxHistoryTokens, DefaultMaxHistoryTokens)
	setDefault(&s.Limits.MaxTokensPerCall, DefaultMaxTokensPerCall)
	setDefault(&s.Limits.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.Limits.RetryRatio, DefaultRetryRatio)
	setDefault(&s.Timeouts.ConnectMs, DefaultConnectTimeoutMs)
	setDefault(&s.Timeouts.CallMs, DefaultCallTimeoutMs)
	setDefault(&s.Timeouts.SilenceMs, DefaultStallTimeoutMs)
	setDefault(&s.Retention.KeysMs, DefaultKeyRetentionMs)
	setDefault(&s.Retention.ProgramsMs, DefaultProgramRetentionMs)
	setDefault(&s.Retention.IdleMs, DefaultIdleTimeoutMs)
	setDefault(&s.Weights.Cache, 1)
	setDefault(&s.Weights.Link, 1)
}

func newIfNil[T any](value *T) *T {
	if value == nil {
		return new(T)
	}
	return value
}

func setDefault[T int | float64](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

// MayRepeat reports whether a call to a plain service may be sent again when it
// is not known whether it ran.
func MayRepeat(s encoder.Service, method, path string) bool {
	for _, pattern := range s.NonRepeatable {
		if matches(pattern, method, path) {
			return false
		}
	}
	return true
}

// matches reports whether the pattern covers a request. A pattern without a method
// covers all methods except GET and HEAD.
func matches(pattern encoder.Pattern, method, path string) bool {
	if pattern.Method == "" && (method == "GET" || method == "HEAD") {
		return false
	}
	if pattern.Method != "" && !strings.EqualFold(pattern.Method, method) {
		return false
	}
	if prefix, ok := strings.CutSuffix(pattern.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return path == pattern.Path
}

// CostOf returns the cost units of a call to a plain service: those of the first
// non-repeatable pattern that covers it, or 0.
func CostOf(s encoder.Service, method, path string) float64 {
	for _, pattern := range s.NonRepeatable {
		if matches(pattern, method, path) {
			return pattern.CostUnits
		}
	}
	return 0
}
