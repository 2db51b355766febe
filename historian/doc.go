// Package historian keeps what was said in chains of turns. Each turn is a row of the
// store under its own ID, with the ID of the turn before it; any number of turns may
// continue the same one, from any program. A turn counts once its row is written.
//
// # Usage
//
//	cache := historian.NewCache(8 << 20)
//	writes, err := historian.Encode(turn, rowBytes) // rows for one grouped write
//	cache.Remember(turn)                            // after the write took effect
//	turns, missing, err := historian.Chain(id, cache.Get)
//	turn, err := historian.Decode(missing, rows)    // from the store
//	body := historian.Join(turns, input)
//
// Memory is a cache of rows; the store decides whether a turn exists.
package historian
