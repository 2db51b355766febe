package lessor

import (
	_ "embed" // for the chart

	"github.com/dogwoodweir/dogwoodweir/interpreter"
)

//go:embed shard.chart.json
var shardChartData []byte

// States of a shard on one daemon.
const (
	// stateOther means that this daemon does not own the shard.
	stateOther = "other"
	// stateClaiming means that a claim is in progress.
	stateClaiming = "claiming"
	// stateLoading means that this daemon owns the shard and restores it.
	stateLoading = "loading"
	// stateOwned means that this daemon serves the shard.
	stateOwned = "owned"
	// stateDraining means that the shard's calls are ending before a handover.
	stateDraining = "draining"
	// stateHandingOver means that a handover is in progress.
	stateHandingOver = "handingOver"
)

// Events of a shard.
const (
	eventClaim      = "claim"
	eventClaimed    = "claimed"
	eventRefused    = "refused"
	eventLoaded     = "loaded"
	eventDrain      = "drain"
	eventKeep       = "keep"
	eventIdle       = "idle"
	eventHandedOver = "handedOver"
	eventLost       = "lost"
)

var shardChart = interpreter.MustLoad(shardChartData, eventClaim, eventClaimed, eventRefused, eventLoaded,
	eventDrain, eventKeep, eventIdle, eventHandedOver, eventLost)

// fire applies an event to the shard's state and reports whether the current state
// accepts it. Otherwise the state is unchanged.
func (v *shardView) fire(event string) bool {
	next, ok := shardChart.Next(v.state, event)
	if ok {
		v.state = next
	}
	return ok
}
