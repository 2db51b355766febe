package loader

import "github.com/dogwoodweir/dogwoodweir/provider"

// Message is an event passed to State.Update.
type Message interface{ message() }

// Command is an action that the daemon must execute.
type Command interface{ command() }

// Model is a model, or an adapter of one, that must be loaded on at least MinReplicas
// targets.
type Model struct {
	Name        string
	Adapter     string
	Version     string
	MinReplicas int
}

// Target is a runner that receives the orders of this issuer.
type Target struct {
	Name string
	// Epoch is the epoch under which the daemon became the issuer. It increases with
	// each change of the issuer.
	Epoch int64
	// ChecksFencing is set if the target rejects orders with stale fencing numbers.
	ChecksFencing bool
	// Slots is the number of models that fit into the target's memory.
	Slots int
}

// TargetsChanged replaces the targets. A target that is new or has a higher epoch gets
// no order before OrderExpiry has passed, unless it checks fencing numbers.
type TargetsChanged struct{ Targets []Target }

// ModelsChanged replaces the models.
type ModelsChanged struct{ Models []Model }

// ReportReceived reports which models and adapters a target has loaded.
type ReportReceived struct{ Report provider.LoadReport }

// DemandObserved adds the service time in seconds that calls of a model need.
type DemandObserved struct {
	Model   string
	Adapter string
	Seconds float64
}

// OrderFinished reports the result of an order. ErrorKind is provider.KindNone if the
// order took effect.
type OrderFinished struct {
	Target    string
	Order     provider.Order
	ErrorKind provider.Kind
}

// RateChanged sets this issuer's share of the weight store's rate limit.
type RateChanged struct{ LoadsPerSec float64 }

// Tick reports that time has passed. Only Tick returns commands.
type Tick struct{}

func (TargetsChanged) message() {}
func (ModelsChanged) message()  {}
func (ReportReceived) message() {}
func (DemandObserved) message() {}
func (OrderFinished) message()  {}
func (RateChanged) message()    {}
func (Tick) message()           {}

// SendOrder sends an order to a target.
type SendOrder struct {
	Target string
	Order  provider.Order
}

func (SendOrder) command() {}
