// Package limiter limits the calls of workspaces over all daemons together.
//
// A daemon that holds a fraction of a workspace's quota admits calls from a token bucket of that
// fraction. The fractions of a workspace are in one row of the store and add up to at most one, so
// that the limit holds whatever daemons and links fail. A daemon that holds no fraction asks a
// holder near it for permits.
//
// Holder, asker and row are state machines without I/O: one message and the time go in, commands
// come out. Limiter runs them, and exchanges rows with the store and permits with the peers.
//
// # Usage
//
//	l := limiter.New(limiter.Dependencies{Store: store, Peers: limiter.NewPeers(messenger), ...}, limiter.Settings{...})
//	go l.Run(ctx)
//	l.SetQuotas([]limiter.Quota{{Workspace: "a", RatePerSecond: 20, Burst: 20}})
//	decision := l.Admit(ctx, limiter.Request{Workspace: "a"})
//	result, handled, err := l.Handle(ctx, method, params) // for requests of peers
//	l.ReturnFractions(ctx)                                // at a planned stop
package limiter
