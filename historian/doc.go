// Package historian encodes and caches the turns of chains. Each turn is a row of the store
// under its own ID, with the ID of the previous turn; any number of turns, of any program,
// may continue the same one. A turn exists once its row is written.
//
// # Usage
//
//	cache := historian.NewCache(8 << 20)
//	writes, err := historian.Encode(turn, rowBytes)       // rows for one transaction
//	cache.Add(turn)                                       // after the write took effect
//	turn, err := historian.Read(id, partition, readRange) // from the store
//	turns, err := historian.Chain(id, lookup)             // lookup uses both
//	body := historian.Join(turns, input)
//
// The cache only holds copies: the store decides whether a turn exists.
package historian
