// Package router selects the target of a call. It keeps a model of the fleet, with
// the load and the prefix cache of each target as far as this daemon knows them, and
// offers policies that choose among a bounded set of candidates.
//
// # Usage
//
// A daemon keeps one Fleet, updates it with calls sent, calls finished and load reports,
// and asks a policy for a choice:
//
//	fleet := router.NewFleet(router.Location{Domain: "nl-ams", Region: "nl"}, router.DefaultProfile())
//	fleet.SetTargets(now, targets)
//	policy := router.NewLowestCost(fleet, router.DefaultWeights(), seed, router.Options{})
//	choice := policy.Decide(now, request)
//	if choice.Node != nil {
//		fleet.RecordSent(now, choice.Node, ticket, choice)
//	}
//
// The package does no I/O and reads no clock: the time is an argument, and equal
// inputs with an equal seed give equal choices.
package router
