// Package surveyor tells a daemon how many calls the other daemons of its failure domain have in flight at
// the engines of that domain. One daemon of the domain collects: the first in rendezvous order. The others
// send it their calls and get back the sum of the others.
//
// A report is a hint. Without reports, or with old ones, a daemon places calls by what it knows itself.
// Nothing waits for a report.
//
// # Usage
//
// State takes typed messages and the time, and returns commands. It does no I/O and reads no clock:
//
//	state := surveyor.New("host-1", surveyor.DefaultOptions())
//	state.Update(now, surveyor.TargetsChanged{IDs: ids})
//	for _, c := range state.Update(now, surveyor.Tick{Peers: peers, Calls: calls}) {
//		switch c := c.(type) {
//		case surveyor.SendReport: // send c.Load to c.Host, then pass on SumReceived or SumMissing
//		case surveyor.Publish:    // the calls of the others are c.InFlight, c.Age ago
//		}
//	}
//
// Runner does this over a messenger.Messenger:
//
//	runner := surveyor.NewRunner(surveyor.Dependencies{...}, surveyor.DefaultOptions())
//	go runner.Run(ctx)
package surveyor
