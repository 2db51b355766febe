package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodweir/dogwoodweir/follower"
)

// Change is a difference between two versions of a configuration, in operators' terms.
type Change struct {
	Position
	object     string
	text       string
	restricted bool
}

// Object returns what changed, such as `route "chat"`.
func (c Change) Object() string { return c.object }

// Text returns how it changed.
func (c Change) Text() string { return c.text }

// Restricts reports whether calls may be rejected that the version in force serves.
func (c Change) Restricts() bool { return c.restricted }

// CheckVersion returns a finding if the next version would not replace the one in force.
func CheckVersion(inForce, next *Document) []Finding {
	if before, after := inForce.Version.Value(), next.Version.Value(); after > 0 && after <= before {
		return []Finding{NewFinding(Error, CodeVersionNotHigher, next.Version.Position,
			"version %d is not above version %d, which is in force: daemons ignore it", after, before)}
	}
	return nil
}

// comparison collects changes.
type comparison struct{ changes []Change }

// Compare returns what the next version changes. Positions are those of the next version; what it lacks
// has the position of its version.
func Compare(inForce, next *Document) []Change {
	c := &comparison{}
	at := next.Version.Position
	o := object{comparison: c, name: "version"}
	if inForce.Version.Value() != next.Version.Value() {
		o.add(at, false, "%d → %d", inForce.Version.Value(), next.Version.Value())
	}
	compareLists(c, at, "route", inForce.Routes, next.Routes, routeName, (*object).compareRoutes)
	compareLists(c, at, "service", inForce.Services, next.Services, func(s *Service) string { return s.Name.Value() }, (*object).compareServices)
	compareLists(c, at, "workspace", inForce.Workspaces, next.Workspaces, func(w *Workspace) string { return w.Name.Value() }, (*object).compareWorkspaces)
	(&object{comparison: c, name: "limits"}).compareLimits(&inForce.Limits, &next.Limits)
	if len(inForce.Workspaces) == 0 && len(next.Workspaces) > 0 {
		(&object{comparison: c, name: "workspaces"}).add(at, true, "calls of routes that are not public need a key from now on")
	}
	return c.changes
}

// routeName returns the name by which operators know a route.
func routeName(r *Route) string {
	if r.Name.Value() != "" {
		return r.Name.Value()
	}
	return strings.ToLower(r.Host.Value()) + r.Prefix.Value()
}

// positioned is an entry of a list.
type positioned[T any] interface {
	*T
	Line() int
	Field() string
}

// compareLists compares entries with equal names. Of entries with one name, the last ones are compared.
func compareLists[T any, P positioned[T]](
	c *comparison, removedAt Position, kind string, before, after []T, name func(P) string, compare func(*object, P, P),
) {
	old := map[string]P{}
	for i := range before {
		old[name(&before[i])] = &before[i]
	}
	current := map[string]bool{}
	for i := range after {
		entry := P(&after[i])
		current[name(entry)] = true
		o := &object{comparison: c, name: fmt.Sprintf("%s %q", kind, name(entry))}
		if previous := old[name(entry)]; previous != nil {
			compare(o, previous, entry)
			continue
		}
		o.add(NewPosition(entry.Line(), entry.Field()), false, "added")
	}
	for i := range before {
		if n := name(&before[i]); !current[n] {
			current[n] = true
			(&object{comparison: c, name: fmt.Sprintf("%s %q", kind, n)}).add(removedAt, true, "removed")
		}
	}
}

// object is an entry whose changes are collected.
type object struct {
	comparison *comparison
	name       string
}

func (o *object) add(at Position, restricted bool, format string, values ...any) {
	o.comparison.changes = append(o.comparison.changes, Change{
		Position: at, object: o.name, text: fmt.Sprintf(format, values...), restricted: restricted,
	})
}

// compareFields adds a change if the values differ.
func compareFields[T comparable](o *object, term string, before, after Field[T], restricted func(before, after T) bool) {
	if before.Value() != after.Value() {
		o.add(after.Position, restricted(before.Value(), after.Value()), "%s %v → %v", term, before.Value(), after.Value())
	}
}

func never[T any](T, T) bool { return false }

func always[T any](T, T) bool { return true }

func lowered[T cmp.Ordered](before, after T) bool { return after < before }

// loweredLimit reports whether a limit, for which 0 is none, became tighter.
func loweredLimit[T cmp.Ordered](before, after T) bool {
	var none T
	return after > none && (before <= none || after < before)
}

func (o *object) compareRoutes(before, after *Route) {
	compareFields(o, "host", before.Host, after.Host, always[string])
	compareFields(o, "prefix", before.Prefix, after.Prefix, func(b, a string) bool { return !strings.HasPrefix(b, a) })
	compareFields(o, "kind", before.Kind, after.Kind, always[Kind])
	compareFields(o, "timeout", before.Timeout, after.Timeout, loweredLimit[time.Duration])
	compareFields(o, "latency objective", before.LatencyObjective, after.LatencyObjective, never[time.Duration])
	compareFields(o, "longest gap between events", before.MaxEventGap, after.MaxEventGap, never[time.Duration])
	compareFields(o, "priority", before.Priority, after.Priority, never[int64])
	compareFields(o, "number of targets that may run a call", before.MaxTargets, after.MaxTargets, lowered[int64])
	compareFields(o, "keeps history", before.KeepsHistory, after.KeepsHistory, func(b, _ bool) bool { return b })
	compareFields(o, "retention of turns", before.Retention, after.Retention, lowered[time.Duration])
	compareFields(o, "sticky", before.Affinity, after.Affinity, never[bool])
	compareFields(o, "resumable", before.Resumable, after.Resumable, func(b, _ bool) bool { return b })
	compareFields(o, "public", before.Public, after.Public, func(b, _ bool) bool { return b })
	if b, a := before.services(), after.services(); b != a {
		o.add(after.Position, false, "services %s → %s", b, a)
	}
}

// services returns the services of a route with their shares.
func (r *Route) services() string {
	if len(r.Splits) == 0 {
		return r.Service.Value()
	}
	parts := make([]string, len(r.Splits))
	for i, s := range r.Splits {
		parts[i] = fmt.Sprintf("%s:%d", s.Service.Value(), s.Weight.Value())
	}
	return strings.Join(parts, " ")
}

func (o *object) compareServices(before, after *Service) {
	compareFields(o, "connections to a target", before.MaxConnections, after.MaxConnections, loweredLimit[int64])
	switch b, a := before.Engine, after.Engine; {
	case b != nil && a != nil:
		compareFields(o, "slots of an engine", b.Slots, a.Slots, never[int64])
		compareFields(o, "cache of an engine in tokens", b.CacheTokens, a.CacheTokens, never[int64])
		compareFields(o, "tokens of an event", b.TokensPerEvent, a.TokensPerEvent, never[int64])
	case b != nil:
		o.add(after.Position, false, "is no longer a model service")
	case a != nil:
		o.add(after.Position, false, "is now a model service")
	}
}

func (o *object) compareWorkspaces(before, after *Workspace) {
	compareFields(o, "priority", before.Priority, after.Priority, never[int64])
	compareFields(o, "requests a second", before.RatePerSecond, after.RatePerSecond, loweredLimit[float64])
	// Without a rate, the burst has no effect.
	compareFields(o, "burst", before.Burst, after.Burst, func(b, a float64) bool { return after.RatePerSecond.Value() > 0 && a < b })
	added := len(lacking(after.Keys, before.Keys))
	removed := len(lacking(before.Keys, after.Keys))
	if added > 0 {
		o.add(after.Position, false, "keys added: %d", added)
	}
	if removed > 0 {
		o.add(after.Position, true, "keys removed: %d", removed)
	}
}

// lacking returns the hashes of the keys that the other list lacks.
func lacking(keys, other []Key) []follower.KeyHash {
	var hashes []follower.KeyHash
	for _, k := range keys {
		equal := func(o Key) bool { return o.Hash == k.Hash }
		if !slices.ContainsFunc(other, equal) && !slices.Contains(hashes, k.Hash) {
			hashes = append(hashes, k.Hash)
		}
	}
	return hashes
}

func (o *object) compareLimits(before, after *Limits) {
	compareFields(o, "bytes of a request head", before.HeaderBytes, after.HeaderBytes, loweredLimit[int64])
	compareFields(o, "bytes of a request body", before.BodyBytes, after.BodyBytes, loweredLimit[int64])
	compareFields(o, "time for a request head", before.HeaderTimeout, after.HeaderTimeout, loweredLimit[time.Duration])
	compareFields(o, "time for which a connection may be idle", before.IdleTimeout, after.IdleTimeout, loweredLimit[time.Duration])
}
