// Package replicator shares copies of tables between the daemons of a failure domain. In a large
// failure domain only some daemons, the leaders, follow a table at the store. The others follow the
// copy of their leader, so that a large change crosses the link between regions once for each leader
// instead of once for each daemon.
//
// A copy is a hint with an age: a reply says how long ago the store confirmed it. A daemon whose
// leader does not reply, or whose leader's copy is too old, follows the store itself for a while. A
// wrong or outdated list of daemons therefore costs calls and never freshness.
//
// # Usage
//
//	s := replicator.New(store, messenger, registrar.DomainPeers, replicator.Options{...}, logger)
//	page, err := s.Feed(ctx, "servers", version, wait) // like the store's Feed
//	result, handled, err := s.Handle(ctx, method, params)
package replicator
