// Package loader places models and adapters on the runners of one failure domain
// within the weight store's rate, with hysteresis against thrashing and with
// fenced orders.
//
// # Usage
//
// The daemon that is the single issuer of orders for a set of targets keeps a
// State, reports load and demand and sends the orders:
//
//	state := loader.New(loader.DefaultOptions())
//	state.Update(now, loader.TargetsChanged{Targets: targets})
//	state.Update(now, loader.ModelsChanged{Models: models})
//	state.Update(now, loader.ReportReceived{Report: report})
//	state.Update(now, loader.DemandObserved{Model: "m", Seconds: 12})
//	for _, c := range state.Update(now, loader.Tick{}) {
//		order := c.(loader.SendOrder) // send; then OrderFinished
//	}
//
// A target has the epoch under which the daemon became its issuer.
package loader
