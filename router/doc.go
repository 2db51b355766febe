// Package router selects the target of a call. It keeps a model of the fleet
// (load and prefix cache of each target, as far as this daemon can know it) and
// offers policies that choose among a bounded set of candidates.
//
// # Usage
//
// Keep one Fleet for each daemon, tell it what was sent, finished and reported,
// and ask a policy for a choice:
//
//	fleet := router.NewFleet(router.Place{Domain: "nl-ams", Region: "nl"}, router.DefaultProfile())
//	fleet.SetTargets(now, targets)
//	policy := router.NewCost(fleet, router.DefaultWeights(), seed)
//	choice := policy.Decide(now, request)
//	if choice.Node != nil {
//		fleet.Sent(now, choice.Node, ticket, choice)
//	}
//
// Nothing here does I/O or reads a clock: the time is an argument, and equal
// input with an equal seed gives equal choices.
package router
