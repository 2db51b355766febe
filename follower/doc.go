// Package follower holds the configuration in force (the routes and services that operators
// published) and the targets in use.
//
// # Usage
//
// State takes one typed message and the time, and returns what changed:
//
//	state := follower.New(follower.Options{GracePeriod: 2 * time.Second})
//	changes := state.Update(now, follower.ConfigurationRead{Configuration: c})
//	route := state.Configuration().Match(host, path)
//
// A configuration replaces only an older one. Targets that disappear from the list while
// the store is unavailable stay in use until a grace period after its return has passed,
// because a live target registers again once the store is back.
package follower
