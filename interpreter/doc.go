// Package interpreter loads state charts from JSON and runs them. A chart lists
// states, the events that each state accepts and the state that follows.
//
// # Usage
//
// Keep the chart beside the package that uses it, embed it and load it once:
//
//	//go:embed program.chart.json
//	var chartData []byte
//
//	var chart = interpreter.MustLoad(chartData, "callArrived", "ended")
//
//	next, ok := chart.Next(state, "callArrived")
//
// The form of a chart is
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
// A transition may be written as the name of the next state alone. Events that a
// state does not list leave it as it is and Next reports false. The events given
// to Load are exactly those that the code sends: an event that only the chart or
// only the code knows is an error.
//
// Guards and handlers are named in the chart and bound with LoadBound; Fire
// evaluates the guard and runs the handlers in the order listed.
package interpreter
