package checker

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/follower"
)

// Position is a place in a configuration file.
type Position struct {
	line  int
	field string
}

// NewPosition returns a position. The field is a path such as "routes[2].host".
func NewPosition(line int, field string) Position { return Position{line: line, field: field} }

// Line returns the number of the line, 1 for the first.
func (p Position) Line() int { return p.line }

// Field returns the path of the field.
func (p Position) Field() string { return p.field }

// Field is a value of a configuration with its position. A field that is not given has the zero value, and
// the line of the entry that it belongs to.
type Field[T any] struct {
	Position
	value T
	given bool
}

// NewField returns a field that the configuration gives.
func NewField[T any](value T, at Position) Field[T] {
	return Field[T]{Position: at, value: value, given: true}
}

// NoField returns a field that is not given.
func NoField[T any](at Position) Field[T] { return Field[T]{Position: at} }

// Value returns the value.
func (f Field[T]) Value() T { return f.value }

// Given reports whether the configuration gives the field.
func (f Field[T]) Given() bool { return f.given }

// Kind is how requests of a route may be handled.
type Kind int

const (
	// KindUnknown is a kind that does not exist.
	KindUnknown Kind = iota
	// KindRepeatable requests may run more than once.
	KindRepeatable
	// KindAtMostOnce requests run at most once.
	KindAtMostOnce
	// KindStreaming requests have a stream of events as their response.
	KindStreaming
)

// String returns what operators call the kind.
func (k Kind) String() string {
	switch k {
	case KindRepeatable:
		return "repeatable"
	case KindAtMostOnce:
		return "at most once"
	case KindStreaming:
		return "streaming"
	}
	return "unknown"
}

// Document is a configuration as its file gives it, before any default.
type Document struct {
	Version    Field[int64]
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Route is an entry of a route; see follower.Route.
type Route struct {
	Position
	Name             Field[string]
	Host             Field[string]
	Prefix           Field[string]
	Kind             Field[Kind]
	Timeout          Field[time.Duration]
	LatencyObjective Field[time.Duration]
	MaxEventGap      Field[time.Duration]
	Priority         Field[int64]
	MaxTargets       Field[int64]
	KeepsHistory     Field[bool]
	Retention        Field[time.Duration]
	Affinity         Field[bool]
	Resumable        Field[bool]
	Public           Field[bool]
	// Service is the only service of a route without splits.
	Service Field[string]
	Splits  []Split
}

// Split is a share of a route's requests for a service.
type Split struct {
	Position
	Service Field[string]
	Weight  Field[int64]
}

// Service is an entry of a service; see follower.Service.
type Service struct {
	Position
	Name           Field[string]
	MaxConnections Field[int64]
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the engines of a service; see follower.Engine.
type Engine struct {
	Position
	Slots          Field[int64]
	CacheTokens    Field[int64]
	TokensPerEvent Field[int64]
}

// Workspace is an entry of a workspace; see follower.Workspace.
type Workspace struct {
	Position
	Name          Field[string]
	Keys          []Key
	Priority      Field[int64]
	RatePerSecond Field[float64]
	Burst         Field[float64]
}

// Key is a key of a workspace.
type Key struct {
	Position
	Hash follower.KeyHash
	// Empty is set for a key without characters, which is ignored. Sendable is set if a request can carry
	// the key.
	Empty    bool
	Sendable bool
}

// Limits are the limits of callers' requests; see follower.CallerLimits.
type Limits struct {
	Position
	HeaderBytes   Field[int64]
	BodyBytes     Field[int64]
	HeaderTimeout Field[time.Duration]
	IdleTimeout   Field[time.Duration]
}
