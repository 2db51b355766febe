// Package recoverer restores shards after a takeover and keeps the log short.
//
// Loader reads the snapshot and the log ranges that a shard row names. A missing or
// damaged row or object is an error of kind KindMissing or KindDamaged; it is never
// skipped.
//
// State decides when a shard is checkpointed. A checkpoint stores a snapshot as an
// object, writes a shard row that names the snapshot and the log position that it
// covers, and deletes the log rows that no owned shard needs any more.
//
// Collector deletes the logs of ended incarnations to which no shard row refers.
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
