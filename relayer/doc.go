// Package relayer calls the platform's store directly, or through a peer while the direct
// path of this daemon is down. It distinguishes an outage of the store from the loss of
// this daemon's own path, which decides what callers are told.
//
// # Usage
//
//	s := relayer.New(direct, messenger, peers, relayer.DefaultOptions(), observe, logger)
//	version, err := s.Apply(ctx, transaction)         // as any provider.RowStore
//	page, err := s.Feed(ctx, table, version, 1500*time.Millisecond)
//	mode := s.AccessMode()                    // Direct, Relayed, Outage or Alone
//	result, handled, err := s.Handle(ctx, method, params) // for requests of peers
package relayer
