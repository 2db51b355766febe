// Package relayer reaches the platform's store directly, or through another daemon while
// the path of this one to the store is cut. It also tells an outage of the store from the
// loss of this daemon's own path, which decides what callers are told.
//
// # Usage
//
//	s := relayer.New(direct, messenger, peers, relayer.DefaultOptions(), observe, logger)
//	version, err := s.Apply(ctx, transaction) // as any provider.RowStore
//	s.Reach()                                 // Direct, Relayed, Outage or Alone
//	result, handled, err := s.Handle(ctx, method, params) // for other daemons
package relayer
