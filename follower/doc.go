// Package follower keeps what is in force: the routes and services that operators
// published, and the targets that serve them.
//
// # Usage
//
// State takes one typed message and the time, and returns what changed:
//
//	state := follower.New(follower.Options{Grace: 2 * time.Second})
//	changes := state.Update(now, follower.ConfigurationRead{Configuration: c})
//	route := state.Configuration().Match(host, path)
//
// A configuration only replaces an older one. Targets that vanish from the list
// while the store was away stay in use for the grace time, because a live target
// lists itself again once the store is back.
package follower
