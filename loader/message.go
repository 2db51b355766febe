package loader

import "github.com/dogwoodweir/dogwoodweir/provider"

// Message is an event that Update takes.
type Message interface{ message() }

// Command is something that the daemon must do.
type Command interface{ command() }

// Model is a model (or an adapter of it) that must be on MinReplicas targets.
type Model struct {
	Name        string
	Adapter     string
	Version     string
	MinReplicas int
}

// Target is a runner that this issuer gives orders to.
type Target struct {
	Name string
	// Epoch is under which the daemon became the issuer; it rises with each change
	// of the issuer.
	Epoch int64
	// ChecksFencing is set when the target refuses stale orders.
	ChecksFencing bool
	// Slots is the number of models that fit into the target's memory.
	Slots int
}

// TargetsChanged replaces the targets. A target that is new or has a new epoch gets
// no order before OrderExpiry has passed, unless it checks fencing numbers.
type TargetsChanged struct{ Targets []Target }

// ModelsChanged replaces the models.
type ModelsChanged struct{ Models []Model }

// ReportReceived says what a target holds.
type ReportReceived struct{ Report provider.LoadReport }

// DemandObserved adds seconds of service that calls of a model asked for.
type DemandObserved struct {
	Model   string
	Adapter string
	Seconds float64
}

// OrderFinished reports the result of an order; Kind is KindNone when it took
// effect.
type OrderFinished struct {
	Target    string
	Order     provider.Order
	ErrorKind provider.Kind
}

// RateChanged changes this issuer's share of the weight store's rate.
type RateChanged struct{ LoadsPerSec float64 }

// Tick lets time pass.
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
