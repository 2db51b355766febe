// Package messenger carries JSON-RPC between daemons over TCP or over in-memory
// links. Connections are authenticated by mutual TLS or by a shared token, every
// byte is counted, and a connection that goes silent while an answer is due is
// closed and replaced.
//
// # Usage
//
//	m := messenger.New(messenger.Settings{Host: "host-1", Token: token}, handler, logger)
//	go m.Serve(listener)
//	reply, err := messenger.Call[encoder.Heartbeat](ctx, m, peer, messenger.MethodHeartbeat, heartbeat)
//	result, err := m.Forward(ctx, peer, call, func(event encoder.CallEvent) error { ... })
//
// Classify errors with KindOf: an error whose kind has NotSent proves that the
// peer did not see the request. Close ends all connections.
package messenger
