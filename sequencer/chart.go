package sequencer

import (
	_ "embed" // embeds the state charts

	"github.com/dogwoodweir/dogwoodweir/interpreter"
)

//go:embed call.chart.json
var callChartData []byte

//go:embed program.chart.json
var programChartData []byte

// States of a call.
const (
	callOpen     = "open"
	callQueued   = "queued"
	callIntent   = "intent"
	callRunning  = "running"
	callSettling = "settling"
	callDone     = "done"
	callUnknown  = "unknown"
)

// Events of a call.
const (
	eventWait      = "wait"
	eventReady     = "ready"
	eventIntend    = "intend"
	eventDispatch  = "dispatch"
	eventLookup    = "lookup"
	eventSettle    = "settle"
	eventInterrupt = "interrupt"
	eventDone      = "done"
	eventUnknown   = "unknown"
	eventNotRun    = "notRun"
	eventClose     = "close"
)

// States of a program.
const (
	programActive  = "active"
	programWaiting = "waiting"
	programEnded   = "ended"
)

// Events of a program.
const (
	eventCallStarted = "callStarted"
	eventCallSettled = "callSettled"
	eventEnd         = "end"
)

var (
	callChart = interpreter.MustLoad(callChartData, eventWait, eventReady, eventIntend, eventDispatch,
		eventLookup, eventSettle, eventInterrupt, eventDone, eventUnknown, eventNotRun, eventClose)
	programChart = interpreter.MustLoad(programChartData, eventCallStarted, eventCallSettled, eventEnd)
)

// fire applies an event to a call's state chart and reports whether the chart
// accepts it. Otherwise it reports a violation and leaves the state unchanged.
func (s *State) fire(p *program, c *call, event string) bool {
	next, ok := callChart.Next(c.State, event)
	if !ok {
		s.reportViolation(InvariantChart, p, c.Step, "call in state "+c.State+" does not accept event "+event)
		return false
	}
	c.State = next
	return true
}

func (s *State) fireProgram(p *program, event string) {
	next, ok := programChart.Next(p.State, event)
	if !ok && p.State != programEnded {
		s.reportViolation(InvariantChart, p, 0, "program in state "+p.State+" does not accept event "+event)
	}
	p.State = next
}
