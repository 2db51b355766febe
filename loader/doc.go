// Package loader decides which models and adapters the runners of one failure domain
// load. It observes the rate limit of the weight store, uses hysteresis so that
// replicas do not move back and forth, and issues fenced orders.
//
// # Usage
//
// The daemon that is the only issuer of orders for a set of targets keeps a State,
// reports load and demand to it and sends the orders:
//
//	state := loader.New(loader.DefaultOptions())
//	state.Update(now, loader.TargetsChanged{Targets: targets})
//	state.Update(now, loader.ModelsChanged{Models: models})
//	state.Update(now, loader.ReportReceived{Report: report})
//	state.Update(now, loader.DemandObserved{Model: "m", Seconds: 12})
//	for _, c := range state.Update(now, loader.Tick{}) {
//		order := c.(loader.SendOrder) // send it, then report OrderFinished
//	}
//
// Each target carries the epoch under which the daemon became its issuer. Fencing
// numbers of orders start with that epoch.
package loader
