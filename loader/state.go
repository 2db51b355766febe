package loader

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Options configure placement.
type Options struct {
	// LoadsPerSec and Burst are this issuer's share of the weight store's rate.
	LoadsPerSec float64
	Burst       int
	// Utilization is the demand, as a share of one target, that one replica takes.
	Utilization float64
	// Hysteresis is the share of a replica by which demand must fall below before
	// one is given up.
	Hysteresis float64
	// MinResidence is the time for which a loaded model stays.
	MinResidence time.Duration
	// OrderExpiry bounds how long an order can be under way.
	OrderExpiry time.Duration
	// MaxReportAge is the greatest age of a report on arrival.
	MaxReportAge time.Duration
	// DemandHalfLife is how fast demand is forgotten.
	DemandHalfLife time.Duration
}

// DefaultOptions returns the usual options.
func DefaultOptions() Options {
	return Options{
		LoadsPerSec: 0.1, Burst: 2, Utilization: 0.7, Hysteresis: 0.5,
		MinResidence: 5 * time.Minute, OrderExpiry: 5 * time.Second, MaxReportAge: 2 * time.Second, DemandHalfLife: time.Minute,
	}
}

type key struct{ model, adapter string }

type demand struct {
	seconds float64
	at      time.Time
}

type target struct {
	Target
	held     []key
	loadedAt map[key]time.Time
	pending  time.Time
	// settled is when reports are certain to be newer than the last order.
	settled  time.Time
	reported bool
	// quietUntil delays the first order under an epoch to a target that does not
	// check fencing numbers.
	quietUntil time.Time
}

// State places models on the targets of one issuer.
type State struct {
	options Options
	counter int64
	targets []*target
	models  []Model
	demand  map[key]demand
	limiter *rate.Limiter
}

// New returns a state without targets and models.
func New(options Options) *State {
	return &State{
		options: options, demand: map[key]demand{},
		limiter: rate.NewLimiter(rate.Limit(options.LoadsPerSec), options.Burst),
	}
}

// Update applies a message and returns orders.
func (s *State) Update(now time.Time, message Message) []Command {
	switch m := message.(type) {
	case TargetsChanged:
		s.changeTargets(now, m.Targets)
	case ModelsChanged:
		s.changeModels(m.Models)
	case ReportReceived:
		s.report(now, m.Report)
	case DemandObserved:
		k := key{m.Model, m.Adapter}
		s.demand[k] = demand{seconds: s.rate(now, k) + m.Seconds, at: now}
	case OrderFinished:
		s.finish(now, m)
	case RateChanged:
		if limit := rate.Limit(m.LoadsPerSec); limit != s.limiter.Limit() {
			s.limiter.SetLimitAt(now, limit)
		}
	case Tick:
		return s.place(now)
	}
	return nil
}

func (s *State) changeTargets(now time.Time, targets []Target) {
	old := s.targets
	s.targets = nil
	for _, t := range targets {
		i := slices.IndexFunc(old, func(o *target) bool { return o.Name == t.Name })
		if i < 0 {
			s.targets = append(s.targets, &target{
				Target: t, loadedAt: map[key]time.Time{}, quietUntil: now.Add(s.options.OrderExpiry),
			})
			continue
		}
		if t.Epoch > old[i].Epoch {
			old[i].quietUntil = now.Add(s.options.OrderExpiry)
		}
		t.Epoch = max(t.Epoch, old[i].Epoch)
		old[i].Target = t
		s.targets = append(s.targets, old[i])
	}
}

// changeModels replaces the models. Reports name the models that were known when
// they came, so that targets are asked again after a new model.
func (s *State) changeModels(models []Model) {
	same := func(a, b Model) bool { return a.Name == b.Name && a.Adapter == b.Adapter }
	if !slices.EqualFunc(s.models, models, same) {
		for _, t := range s.targets {
			t.reported = false
		}
	}
	s.models = slices.Clone(models)
}

func (s *State) find(name string) *target {
	for _, t := range s.targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

func (s *State) report(now time.Time, r provider.LoadReport) {
	t := s.find(r.Target)
	// A report that was taken before an order took effect says nothing about it.
	if t == nil || now.Before(t.pending) || now.Before(t.settled) {
		return
	}
	t.held, t.reported = t.held[:0], true
	for _, m := range s.models {
		k := key{m.Name, m.Adapter}
		if slices.Contains(r.Models, m.Name) && (m.Adapter == "" || slices.Contains(r.Adapters, m.Adapter)) {
			t.held = append(t.held, k)
		}
	}
}

func (s *State) finish(now time.Time, m OrderFinished) {
	t := s.find(m.Target)
	if t == nil {
		return
	}
	t.pending, t.settled = time.Time{}, now.Add(s.options.MaxReportAge)
	if m.ErrorKind != provider.KindNone {
		// The target is asked again by a report before the next order to it.
		t.reported = false
		return
	}
	k := key{m.Order.Model, m.Order.Adapter}
	t.held = slices.DeleteFunc(t.held, func(h key) bool { return h == k })
	if m.Order.Kind == "load" {
		t.held = append(t.held, k)
		t.loadedAt[k] = now
	}
}

// rate returns the decayed seconds of service per half-life.
func (s *State) rate(now time.Time, k key) float64 {
	d := s.demand[k]
	return d.seconds * math.Exp2(-now.Sub(d.at).Seconds()/s.options.DemandHalfLife.Seconds())
}

// wanted returns the replicas for a model's demand. With more than it holds now
// demand must be above a full replica, with fewer below one by the hysteresis.
func (s *State) wanted(now time.Time, m Model, have int) int {
	// A decaying sum with half-life h settles at rate × h / ln 2.
	perSec := s.rate(now, key{m.Name, m.Adapter}) * math.Ln2 / s.options.DemandHalfLife.Seconds()
	exact := perSec / s.options.Utilization
	up := max(m.MinReplicas, int(math.Ceil(exact)))
	if up >= have {
		return up
	}
	return min(have, max(m.MinReplicas, int(math.Ceil(exact+s.options.Hysteresis))))
}

func (s *State) place(now time.Time) []Command {
	var commands []Command
	for _, m := range s.models {
		k := key{m.Name, m.Adapter}
		have := 0
		for _, t := range s.targets {
			if slices.Contains(t.held, k) || now.Before(t.pending) {
				have++
			}
		}
		want := s.wanted(now, m, have)
		for ; have < want; have++ {
			c, ok := s.load(now, m, k)
			if !ok {
				break
			}
			commands = append(commands, c)
		}
	}
	return commands
}

// load orders a model onto the target with a free slot, or makes room on one that
// holds a model with more replicas than it needs.
func (s *State) load(now time.Time, m Model, k key) (Command, bool) {
	for _, t := range s.targets {
		if s.mayOrder(now, t) && !slices.Contains(t.held, k) && len(t.held) < t.Slots {
			if !s.limiter.AllowN(now, 1) {
				return nil, false
			}
			return s.order(now, t, "load", m), true
		}
	}
	for _, t := range s.targets {
		if !s.mayOrder(now, t) || slices.Contains(t.held, k) {
			continue
		}
		for _, h := range t.held {
			if now.Sub(t.loadedAt[h]) >= s.options.MinResidence && s.spare(now, h) {
				return s.order(now, t, "unload", Model{Name: h.model, Adapter: h.adapter}), true
			}
		}
	}
	return nil, false
}

func (s *State) spare(now time.Time, k key) bool {
	have, model := 0, Model{Name: k.model, Adapter: k.adapter}
	for _, t := range s.targets {
		if slices.Contains(t.held, k) {
			have++
		}
	}
	for _, m := range s.models {
		if m.Name == k.model && m.Adapter == k.adapter {
			model = m
		}
	}
	return have > s.wanted(now, model, have)
}

func (s *State) mayOrder(now time.Time, t *target) bool {
	if !t.reported || now.Before(t.pending) {
		return false
	}
	return t.ChecksFencing || !now.Before(t.quietUntil)
}

func (s *State) order(now time.Time, t *target, kind string, m Model) Command {
	s.counter++
	t.pending = now.Add(s.options.OrderExpiry)
	return SendOrder{Target: t.Name, Order: provider.Order{
		Kind: kind, Model: m.Name, Adapter: m.Adapter, Version: m.Version,
		FencingNumber: t.Epoch<<32 | s.counter, ExpiresAfter: s.options.OrderExpiry,
	}}
}
