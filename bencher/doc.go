// Package bencher runs scheduling policies in virtual time against small fakes of
// the engine (continuous batching, a prefix cache in limited memory, priorities),
// of plain services and of the link between regions. There is no model of hosts,
// processes or the network beyond latency and the link's rate.
//
// # Usage
//
//	result := bencher.Run(bencher.Cell{
//		Deployment: generator.Lichtbeeld(), Policy: scheduler.Standard(), Rate: 1.5,
//		Seed: 1, Fault: bencher.Healthy, Times: bencher.FullTimes(),
//	})
//
// Callers behave alike for every policy: a refused caller asks again after the
// given time, a new program up to giveUpNew times, one under way up to
// giveUpUnderWay times.
package bencher
