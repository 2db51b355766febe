package loader

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Options configure the placement of models.
type Options struct {
	// LoadsPerSec and Burst are this issuer's share of the weight store's rate limit.
	LoadsPerSec float64
	Burst       int
	// Utilization is the share of a target's time that the demand for one replica may
	// take.
	Utilization float64
	// Hysteresis is the share of a replica by which demand must be below the capacity
	// of fewer replicas before a replica becomes superfluous.
	Hysteresis float64
	// MinResidence is the shortest time for which a loaded model stays loaded.
	MinResidence time.Duration
	// OrderExpiry is the longest time between sending and execution of an order.
	OrderExpiry time.Duration
	// MaxReportAge is the greatest age of a report when it arrives.
	MaxReportAge time.Duration
	// DemandHalfLife is the time after which observed demand counts half.
	DemandHalfLife time.Duration
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		LoadsPerSec: 0.1, Burst: 2, Utilization: 0.7, Hysteresis: 0.5,
		MinResidence: 5 * time.Minute, OrderExpiry: 5 * time.Second, MaxReportAge: 2 * time.Second, DemandHalfLife: time.Minute,
	}
}

type modelKey struct{ model, adapter string }

// demand is the service time that calls of a model need, as a sum that decays from the
// time at.
type demand struct {
	seconds float64
	at      time.Time
}

type target struct {
	Target
	loaded   []modelKey
	loadedAt map[modelKey]time.Time
	// pendingUntil is the expiry of the order in progress, zero if there is none. pendingFor is
	// the model that it loads or for which it makes room.
	pendingUntil time.Time
	pendingFor   modelKey
	// reportsCurrentAt is the time from which a report that arrives is newer than the
	// last order.
	reportsCurrentAt time.Time
	// hasReport is set if loaded is known from a report.
	hasReport bool
	// noOrdersUntil delays the first order under an epoch to a target that does not
	// check fencing numbers, until orders of the previous issuer have expired.
	noOrdersUntil time.Time
}

// State decides which models the targets of one issuer load.
type State struct {
	options    Options
	orderCount int64
	targets    []*target
	models     []Model
	demand     map[modelKey]demand
	limiter    *rate.Limiter
}

// New returns a state without targets and models.
func New(options Options) *State {
	return &State{
		options: options, demand: map[modelKey]demand{},
		limiter: rate.NewLimiter(rate.Limit(options.LoadsPerSec), options.Burst),
	}
}

// Update applies a message and returns the commands that the daemon must execute.
func (s *State) Update(now time.Time, message Message) []Command {
	switch m := message.(type) {
	case TargetsChanged:
		s.setTargets(now, m.Targets)
	case ModelsChanged:
		s.setModels(m.Models)
	case ReportReceived:
		s.applyReport(now, m.Report)
	case DemandObserved:
		k := modelKey{m.Model, m.Adapter}
		s.demand[k] = demand{seconds: s.decayedSeconds(now, k) + m.Seconds, at: now}
	case OrderFinished:
		s.finishOrder(now, m)
	case RateChanged:
		if limit := rate.Limit(m.LoadsPerSec); limit != s.limiter.Limit() {
			s.limiter.SetLimitAt(now, limit)
		}
	case Tick:
		return s.placeModels(now)
	}
	return nil
}

func (s *State) setTargets(now time.Time, targets []Target) {
	old := s.targets
	s.targets = nil
	for _, t := range targets {
		i := slices.IndexFunc(old, func(o *target) bool { return o.Name == t.Name })
		if i < 0 {
			s.targets = append(s.targets, &target{
				Target: t, loadedAt: map[modelKey]time.Time{}, noOrdersUntil: now.Add(s.options.OrderExpiry),
			})
			continue
		}
		if t.Epoch > old[i].Epoch {
			old[i].noOrdersUntil = now.Add(s.options.OrderExpiry)
		}
		t.Epoch = max(t.Epoch, old[i].Epoch)
		old[i].Target = t
		s.targets = append(s.targets, old[i])
	}
}

// setModels replaces the models. The loaded models of a target cover only those that
// were configured when its report arrived. If the list of names or adapters changes, all
// targets therefore need a new report before the next order.
func (s *State) setModels(models []Model) {
	same := func(a, b Model) bool { return a.Name == b.Name && a.Adapter == b.Adapter }
	if !slices.EqualFunc(s.models, models, same) {
		for _, t := range s.targets {
			t.hasReport = false
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

func (s *State) applyReport(now time.Time, r provider.LoadReport) {
	t := s.find(r.Target)
	// A report from before the end of an order does not show the effect of the order.
	if t == nil || now.Before(t.pendingUntil) || now.Before(t.reportsCurrentAt) {
		return
	}
	t.loaded, t.hasReport = t.loaded[:0], true
	for _, m := range s.models {
		k := modelKey{m.Name, m.Adapter}
		if slices.Contains(r.Models, m.Name) && (m.Adapter == "" || slices.Contains(r.Adapters, m.Adapter)) {
			t.loaded = append(t.loaded, k)
		}
	}
}

func (s *State) finishOrder(now time.Time, m OrderFinished) {
	t := s.find(m.Target)
	if t == nil {
		return
	}
	t.pendingUntil, t.reportsCurrentAt = time.Time{}, now.Add(s.options.MaxReportAge)
	if m.ErrorKind != provider.KindNone {
		// The order may or may not have taken effect, so the target needs a new report
		// before its next order.
		t.hasReport = false
		return
	}
	k := modelKey{m.Order.Model, m.Order.Adapter}
	t.loaded = slices.DeleteFunc(t.loaded, func(h modelKey) bool { return h == k })
	if m.Order.Kind == "load" {
		t.loaded = append(t.loaded, k)
		t.loadedAt[k] = now
	}
}

// decayedSeconds returns the decaying sum of the service seconds observed for a model.
func (s *State) decayedSeconds(now time.Time, k modelKey) float64 {
	d := s.demand[k]
	return d.seconds * math.Exp2(-now.Sub(d.at).Seconds()/s.options.DemandHalfLife.Seconds())
}

// wantedReplicas returns the number of replicas for a model's demand, at least
// MinReplicas. It returns fewer than current only if the demand is lower by the
// hysteresis.
func (s *State) wantedReplicas(now time.Time, m Model, current int) int {
	// At a constant rate, a decaying sum with half-life h converges to rate × h / ln 2.
	perSec := s.decayedSeconds(now, modelKey{m.Name, m.Adapter}) * math.Ln2 / s.options.DemandHalfLife.Seconds()
	replicas := perSec / s.options.Utilization
	needed := max(m.MinReplicas, int(math.Ceil(replicas)))
	if needed >= current {
		return needed
	}
	return min(current, max(m.MinReplicas, int(math.Ceil(replicas+s.options.Hysteresis))))
}

func (s *State) placeModels(now time.Time) []Command {
	var commands []Command
	for _, m := range s.models {
		k := modelKey{m.Name, m.Adapter}
		current := 0
		for _, t := range s.targets {
			if slices.Contains(t.loaded, k) || now.Before(t.pendingUntil) && t.pendingFor == k {
				current++
			}
		}
		wanted := s.wantedReplicas(now, m, current)
		for ; current < wanted; current++ {
			c, ok := s.addReplica(now, m, k)
			if !ok {
				break
			}
			commands = append(commands, c)
		}
	}
	return commands
}

// addReplica returns an order that loads a model on a target with a free slot. If there
// is none, it returns an order that unloads a superfluous replica of another model. It
// returns false if no order is possible or the rate limit is reached.
func (s *State) addReplica(now time.Time, m Model, k modelKey) (Command, bool) {
	for _, t := range s.targets {
		if s.canOrder(now, t) && !slices.Contains(t.loaded, k) && len(t.loaded) < t.Slots {
			if !s.limiter.AllowN(now, 1) {
				return nil, false
			}
			return s.issueOrder(now, t, k, "load", m), true
		}
	}
	for _, t := range s.targets {
		if !s.canOrder(now, t) || slices.Contains(t.loaded, k) {
			continue
		}
		for _, h := range t.loaded {
			if now.Sub(t.loadedAt[h]) >= s.options.MinResidence && s.hasSpareReplica(now, h) {
				return s.issueOrder(now, t, k, "unload", Model{Name: h.model, Adapter: h.adapter}), true
			}
		}
	}
	return nil, false
}

func (s *State) hasSpareReplica(now time.Time, k modelKey) bool {
	current, model := 0, Model{Name: k.model, Adapter: k.adapter}
	for _, t := range s.targets {
		if slices.Contains(t.loaded, k) {
			current++
		}
	}
	for _, m := range s.models {
		if m.Name == k.model && m.Adapter == k.adapter {
			model = m
		}
	}
	return current > s.wantedReplicas(now, model, current)
}

func (s *State) canOrder(now time.Time, t *target) bool {
	if !t.hasReport || now.Before(t.pendingUntil) {
		return false
	}
	return t.ChecksFencing || !now.Before(t.noOrdersUntil)
}

// issueOrder returns an order for a replica of the wanted model.
func (s *State) issueOrder(now time.Time, t *target, wanted modelKey, kind string, m Model) Command {
	s.orderCount++
	t.pendingUntil, t.pendingFor = now.Add(s.options.OrderExpiry), wanted
	return SendOrder{Target: t.Name, Order: provider.Order{
		Kind: kind, Model: m.Name, Adapter: m.Adapter, Version: m.Version,
		FencingNumber: t.Epoch<<32 | s.orderCount, ExpiresAfter: s.options.OrderExpiry,
	}}
}
