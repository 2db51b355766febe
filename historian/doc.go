// Package historian encodes and caches the turns of chains. Each turn is a row of the store
// under its own ID, with the ID of the previous turn; any number of turns, of any program,
// may continue the same one. A turn exists once its row is written.
//
// # Usage
//
//	cache := historian.NewCache(8 << 20)
//	turn, err := historian.NewTurn(&historian.Draft{ID: id, Previous: previous, Parts: [][]byte{input, output}})
//	writes, err := historian.Encode(turn, rowBytes) // rows for one transaction
//	cache.Add(turn)                                 // after the write took effect
//	turn, err := reader.Read(id, partition)         // from the store, with a historian.Reader
//	turns, err := historian.Chain(id, lookup)       // lookup uses both
//	body := historian.NewHistory(turns, input)
//
// A turn that the store does not take in one transaction (InParts) is written in Parts.
//
// Text of more than PlainBytes is kept deflated, and inflated while a History is read.
//
// The cache only holds copies: the store decides whether a turn exists.
package historian
