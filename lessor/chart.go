package lessor

import (
	_ "embed" // for the chart

	"github.com/dogwoodweir/dogwoodweir/interpreter"
)

//go:embed shard.chart.json
var shardChartData []byte

// States of a shard on one daemon.
const (
	// stateOther is a shard that this daemon does not own.
	stateOther = "other"
	// stateClaiming waits for the outcome of a claim.
	stateClaiming = "claiming"
	// stateLoading owns the shard and restores it.
	stateLoading = "loading"
	// stateOwned serves the shard.
	stateOwned = "owned"
	// stateDraining waits for the end of its calls.
	stateDraining = "draining"
	// stateHandingOver waits for the outcome of a handover.
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

// fire moves the shard to the state that follows the event, and reports whether the
// event is accepted in the current state.
func (v *shardView) fire(event string) bool {
	next, ok := shardChart.Next(v.state, event)
	if ok {
		v.state = next
	}
	return ok
}
