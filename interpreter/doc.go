// Package interpreter loads state charts from JSON and evaluates them. A chart defines
// the states, the events that each state accepts and the transitions to the next state.
//
// # Usage
//
// Keep the chart in the directory of the package that uses it, embed it and load it
// once:
//
//	//go:embed program.chart.json
//	var chartData []byte
//
//	var chart = interpreter.MustLoad(chartData, "callArrived", "ended")
//
//	next, ok := chart.Next(state, "callArrived")
//
// A chart has this format:
//
//	{
//	  "name": "program",
//	  "initial": "active",
//	  "states": {
//	    "active": {"on": {"paused": {"to": "waiting"}, "ended": {"to": "ended"}}},
//	    "waiting": {"on": {"resumed": {"to": "active", "guard": "mayResume", "do": ["count"]}}},
//	    "ended": {"terminal": true}
//	  }
//	}
//
// A transition may also be written as just the name of the next state. For an event
// that a state does not list, Next returns the same state and false. Load takes the
// events that the code sends. An event that is only in the chart or only in the code
// is an error.
//
// The chart refers to guards and handlers by name, and LoadBound binds functions to
// the names. Fire evaluates the guard of a transition and runs its handlers in the
// order listed.
package interpreter
