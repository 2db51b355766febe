package checker

import (
	"slices"
	"strings"
	"time"

	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/receiver"
)

const (
	// quotaWindow is the window in which the calls of a workspace are counted.
	quotaWindow = 5 * time.Second
	// retryShare is the largest share of a call's time after which a daemon gives up a silent target for
	// another one.
	retryShare = 2.0 / 3
)

// Options configure the rules.
type Options struct {
	// FirstEventTimeout is the shortest time for which daemons wait for the first event of a stream before
	// they turn to another target.
	FirstEventTimeout time.Duration
	// ProgramCalls is the number of calls that a program of a workspace makes within 5 s.
	ProgramCalls int
}

// DefaultOptions returns the options for the daemons of this build. A program makes at least one call.
func DefaultOptions() Options {
	return Options{FirstEventTimeout: receiver.DefaultOptions().MinFirstEventTimeout, ProgramCalls: 1}
}

// check collects the findings about a document.
type check struct {
	options  Options
	findings []Finding
}

// Check returns all findings about a document, ordered by line: those about its form, and those of the
// rules. The rules are applied only to a document that daemons can read.
func Check(d *Document, form []Finding, options Options) []Finding {
	c := &check{options: options, findings: slices.Clone(form)}
	Sort(c.findings)
	if Count(form, Error) > 0 {
		return c.findings
	}
	if d.Version.Value() <= 0 {
		c.add(Error, CodeMissing, d.Version.Position, "no version above 0: daemons ignore the configuration")
	}
	if len(d.Routes) == 0 {
		c.add(Warning, CodeMissing, d.Version.Position, "no route: every call is answered with 404")
	}
	services := c.services(d)
	c.routes(d, services)
	c.workspaces(d)
	c.limits(&d.Limits)
	Sort(c.findings)
	return c.findings
}

func (c *check) add(severity Severity, code Code, at Position, format string, values ...any) {
	c.findings = append(c.findings, NewFinding(severity, code, at, format, values...))
}

// number is a type of the fields that have a sign.
type number interface {
	~int64 | ~float64
}

// notNegative reports a negative value.
func notNegative[T number](c *check, f Field[T]) {
	if f.Value() < 0 {
		c.add(Error, CodeOutOfRange, f.Position, "%v is negative", f.Value())
	}
}

// ignored reports a field that has no effect.
func ignored[T any](c *check, f Field[T], reason string) {
	c.add(Warning, CodeIgnored, f.Position, "has no effect: %s", reason)
}

// duplicates reports names that occur a second time.
type duplicates struct {
	check    *check
	severity Severity
	object   string
	effect   string
	first    map[string]int
}

func (d *duplicates) observe(name Field[string]) {
	if line, known := d.first[name.Value()]; known {
		d.check.add(d.severity, CodeDuplicateName, name.Position, "%s %q is also in line %d: %s", d.object, name.Value(), line, d.effect)
		return
	}
	d.first[name.Value()] = name.Line()
}

// services checks the services and returns their names.
func (c *check) services(d *Document) map[string]bool {
	names := map[string]bool{}
	seen := duplicates{check: c, severity: Error, object: "service", effect: "daemons use the last one", first: map[string]int{}}
	used := map[string]bool{}
	for i := range d.Routes {
		used[d.Routes[i].Service.Value()] = true
		for _, s := range d.Routes[i].Splits {
			used[s.Service.Value()] = true
		}
	}
	for i := range d.Services {
		s := &d.Services[i]
		if s.Name.Value() == "" {
			c.add(Error, CodeMissing, s.Name.Position, "service without a name")
			continue
		}
		seen.observe(s.Name)
		names[s.Name.Value()] = true
		if !used[s.Name.Value()] {
			c.add(Warning, CodeUnusedService, s.Name.Position, "no route uses service %q", s.Name.Value())
		}
		notNegative(c, s.MaxConnections)
		if e := s.Engine; e != nil {
			if e.Slots.Value() <= 0 {
				c.add(Error, CodeOutOfRange, e.Slots.Position, "an engine needs at least one slot")
			}
			notNegative(c, e.CacheTokens)
			notNegative(c, e.TokensPerEvent)
		}
	}
	return names
}

func (c *check) routes(d *Document, services map[string]bool) {
	seen := duplicates{check: c, severity: Warning, object: "route", effect: "logs and metrics cannot tell them apart", first: map[string]int{}}
	type match struct{ host, prefix string }
	first := map[match]*Route{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.Name.Value() == "" {
			c.add(Warning, CodeMissing, r.Name.Position, "route without a name: logs and metrics cannot tell it apart")
		} else {
			seen.observe(r.Name)
		}
		if r.Host.Value() == "" {
			c.add(Error, CodeMissing, r.Host.Position, "route without a host: it matches no request that names one")
		}
		switch key := (match{strings.ToLower(r.Host.Value()), r.Prefix.Value()}); {
		case r.Prefix.Value() != "" && !strings.HasPrefix(r.Prefix.Value(), "/"):
			c.add(Error, CodeUnreachablePrefix, r.Prefix.Position, "prefix %q matches no path, since paths begin with /", r.Prefix.Value())
		case first[key] != nil:
			c.add(Error, CodeShadowedRoute, r.Position, "route can never match: route %q in line %d has the same host and prefix and comes first",
				first[key].Name.Value(), first[key].Line())
		default:
			first[key] = r
		}
		c.routeServices(r, services)
		c.routeTimes(r)
		c.routeSettings(r)
	}
}

func (c *check) routeServices(r *Route, services map[string]bool) {
	known := func(f Field[string]) {
		if !services[f.Value()] {
			c.add(Error, CodeUnknownService, f.Position, "there is no service %q: calls are answered with 503", f.Value())
		}
	}
	if len(r.Splits) == 0 {
		if r.Service.Value() == "" {
			c.add(Error, CodeMissing, r.Service.Position, "route without a service: calls are answered with 503")
			return
		}
		known(r.Service)
		return
	}
	if r.Service.Value() != "" {
		ignored(c, r.Service, "the route has splits")
	}
	total := int64(0)
	for _, s := range r.Splits {
		known(s.Service)
		notNegative(c, s.Weight)
		total += max(0, s.Weight.Value())
	}
	for _, s := range r.Splits {
		switch {
		case total == 0:
			c.add(Error, CodeNeverChosen, s.Weight.Position, "no split of the route has a weight: calls are answered with 503")
		case s.Weight.Value() == 0 && len(r.Splits) > 1:
			c.add(Warning, CodeNeverChosen, s.Weight.Position, "service %q gets no calls: its weight is 0", s.Service.Value())
		}
	}
}

// mayRepeat reports whether daemons may send a call of the route again after its outcome became unknown.
func (r *Route) mayRepeat() bool {
	return r.Kind.Value() == KindRepeatable || r.Kind.Value() == KindStreaming && r.Resumable.Value()
}

func (c *check) routeTimes(r *Route) {
	for _, f := range []Field[time.Duration]{r.Timeout, r.LatencyObjective, r.MaxEventGap, r.Retention} {
		notNegative(c, f)
	}
	timeout, objective := r.Timeout.Value(), r.LatencyObjective.Value()
	if timeout <= 0 {
		return
	}
	if objective > timeout {
		c.add(Error, CodeObjectiveAboveTimeout, r.LatencyObjective.Position, "latency objective of %v is above the timeout of %v in line %d", objective, timeout, r.Timeout.Line())
	}
	if r.MaxEventGap.Value() > timeout {
		ignored(c, r.MaxEventGap, "the gap between events is above the timeout of "+timeout.String())
	}
	if r.MaxTargets.Value() < 2 || !r.mayRepeat() {
		return
	}
	wait := time.Duration(float64(c.options.FirstEventTimeout) / retryShare)
	switch {
	case objective > 0 && objective <= timeout && 2*objective > timeout:
		c.add(Warning, CodeRetryDoesNotFit, r.MaxTargets.Position,
			"a second target cannot respond within the latency objective of %v if the first one used it up: the timeout is %v", objective, timeout)
	case r.Kind.Value() == KindStreaming && timeout < wait:
		c.add(Warning, CodeRetryDoesNotFit, r.MaxTargets.Position,
			"a silent target is never given up for another one: that needs a timeout of %v or more, and it is %v", wait, timeout)
	}
}

// routeSettings checks the kind of a route, and the fields that have an effect with some kinds only.
func (c *check) routeSettings(r *Route) {
	notNegative(c, r.Priority)
	notNegative(c, r.MaxTargets)
	kind := r.Kind.Value()
	if kind == KindUnknown {
		c.add(Error, CodeUnknownKind, r.Kind.Position, "unknown kind: daemons treat calls as ones that may run only once")
		return
	}
	if r.MaxTargets.Value() > 1 && !r.mayRepeat() {
		ignored(c, r.MaxTargets, "a call of this route runs at most once")
	}
	if r.KeepsHistory.Value() && kind == KindStreaming && r.Retention.Value() == 0 {
		c.add(Error, CodeHistoryWithoutRetention, r.KeepsHistory.Position, "turns are kept for no time and cannot be continued")
	}
	if r.Retention.Value() > 0 && !r.KeepsHistory.Value() {
		ignored(c, r.Retention, "the route keeps no history")
	}
	if kind == KindStreaming {
		return
	}
	const reason = "the route is not a streaming one"
	if r.KeepsHistory.Value() {
		ignored(c, r.KeepsHistory, reason)
	}
	if r.Resumable.Value() {
		ignored(c, r.Resumable, reason)
	}
	if r.MaxEventGap.Value() > 0 {
		ignored(c, r.MaxEventGap, reason)
	}
}

func (c *check) workspaces(d *Document) {
	seen := duplicates{check: c, severity: Error, object: "workspace", effect: "each has a quota of its own under one name", first: map[string]int{}}
	type holder struct {
		workspace int
		line      int
	}
	holders := map[follower.KeyHash]holder{}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		if w.Name.Value() == "" {
			c.add(Error, CodeMissing, w.Name.Position, "workspace without a name: targets cannot tell whose call it is")
		} else {
			seen.observe(w.Name)
		}
		usable := 0
		for _, k := range w.Keys {
			h, held := holders[k.Hash]
			switch {
			case k.Empty:
				c.add(Warning, CodeIgnored, k.Position, "empty key has no effect")
				continue
			case !k.Sendable:
				c.add(Error, CodeUnsendableKey, k.Position, "no request can carry the key: it begins or ends with a space or has a control character")
				continue
			case held && h.workspace == i:
				c.add(Warning, CodeRepeatedKey, k.Position, "the key is also in line %d", h.line)
			case held:
				c.add(Error, CodeSharedKey, k.Position, "workspace %q in line %d has the same key and gets the calls that carry it", d.Workspaces[h.workspace].Name.Value(), h.line)
				continue
			default:
				holders[k.Hash] = holder{workspace: i, line: k.Line()}
			}
			usable++
		}
		if usable == 0 {
			c.add(Warning, CodeNoKey, w.Position, "workspace %q has no key of its own that callers could send", w.Name.Value())
		}
		c.quota(w)
	}
	if len(d.Workspaces) == 0 || len(d.Routes) == 0 {
		return
	}
	for i := range d.Routes {
		if !d.Routes[i].Public.Value() {
			return
		}
	}
	c.add(Warning, CodeWorkspacesUnused, d.Workspaces[0].Position, "all routes are public: no call needs a key, and no quota applies")
}

func (c *check) quota(w *Workspace) {
	notNegative(c, w.Priority)
	notNegative(c, w.RatePerSecond)
	notNegative(c, w.Burst)
	rate, burst := w.RatePerSecond.Value(), w.Burst.Value()
	if rate <= 0 {
		if burst > 0 {
			ignored(c, w.Burst, "a workspace without a rate has no limit")
		}
		return
	}
	if burst > 0 && burst < 1 {
		c.add(Error, CodeBurstBelowCall, w.Burst.Position, "burst of %v is below one call", burst)
	}
	if window := rate*quotaWindow.Seconds() + max(0, burst); window < float64(c.options.ProgramCalls) {
		c.add(Error, CodeQuotaBelowProgram, w.RatePerSecond.Position,
			"quota admits %.3g calls in %v, and a program of the workspace makes %d", window, quotaWindow, c.options.ProgramCalls)
	}
}

func (c *check) limits(l *Limits) {
	notNegative(c, l.HeaderBytes)
	notNegative(c, l.BodyBytes)
	notNegative(c, l.HeaderTimeout)
	notNegative(c, l.IdleTimeout)
}
