// Package bencher runs scheduling policies in virtual time against small fakes of
// the engine (continuous batching, a prefix cache in limited memory, priorities),
// of plain services and of the link between regions. Hosts, processes and the network
// are not modelled, except for latency and the link's rate.
//
// # Usage
//
//	result := bencher.Run(bencher.Scenario{
//		Deployment: generator.Lichtbeeld(), Policy: scheduler.Standard(), Rate: 1.5,
//		Seed: 1, Fault: bencher.Healthy, Timeline: bencher.FullTimeline(),
//	})
//
// Callers behave alike for every policy: a caller repeats a rejected call after the given
// time, up to maxRetriesNew times in a row for the first call of a program and up to
// maxRetriesStarted times for a later one.
package bencher
