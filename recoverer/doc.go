// Package recoverer restores shards after a takeover and keeps the log short.
//
// Loader reads the snapshot and the log ranges that a shard row names. A row or an
// object that is missing or damaged is an error of kind KindMissing or KindDamaged;
// nothing is skipped.
//
// State decides when a shard is checkpointed: its snapshot is stored as an object,
// the shard row then names the snapshot and the log position that it covers, and log
// rows before the positions of all shards are deleted.
//
// Collector deletes logs of ended incarnations to which no shard row refers.
//
// # Usage
//
// For a checkpoint, take the snapshot and append a marker (package committer) in the
// same step, so that the marker's sequence is the position of the snapshot:
//
//	commands := state.Update(now, recoverer.ShardClaimed{Row: row, Position: sequence})
//	loaded, err := loader.Load(ctx, row)
//	commands = state.Update(now, recoverer.ShardLoaded{Shard: row.Shard})
//	// StoreSnapshot: snapshot and marker, PutSnapshot, then SnapshotStored
//	// WriteCheckpoint: append the shard row, then CheckpointFinished
//	// TrimLog: append the trim
package recoverer
