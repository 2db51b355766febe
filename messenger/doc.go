// Package messenger carries JSON-RPC between daemons over TCP or over in-memory
// connections. Connections are authenticated by mutual TLS or by a shared token, and
// every byte is counted. A connection on which nothing arrives while a reply is due
// has stalled; it is closed and replaced.
//
// # Usage
//
//	m := messenger.New(messenger.Settings{Host: "host-1", Token: token}, handler, logger)
//	go m.Serve(listener)
//	reply, err := messenger.Call[encoder.Heartbeat](ctx, m, peer, messenger.MethodHeartbeat, heartbeat)
//	result, err := m.Forward(ctx, peer, call, func(event encoder.CallEvent) error { ... })
//
// Classify errors with KindOf: if NotRun holds for the kind, the peer's handler has
// not run. Close closes all connections.
package messenger
