package recoverer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// Defaults of Options.
const (
	// DefaultMaxLogRows and DefaultMaxLogBytes limit the log that a takeover replays.
	DefaultMaxLogRows  = 512
	DefaultMaxLogBytes = 8 << 20
	// DefaultMaxCheckpointAge limits the age of a checkpoint of a shard with new
	// records.
	DefaultMaxCheckpointAge = 5 * time.Minute
	// DefaultMinCheckpointInterval is the shortest time between two checkpoints of a
	// daemon.
	DefaultMinCheckpointInterval = 500 * time.Millisecond
)

// Options configures a State. Zero values select the defaults.
type Options struct {
	MaxLogRows            int
	MaxLogBytes           int
	MaxCheckpointAge      time.Duration
	MinCheckpointInterval time.Duration
}

// Message is an input of State.Update.
type Message interface{ message() }

// ShardClaimed adds a shard that this daemon owns and has not loaded yet. Row is the
// claimed row without the daemon's own open range, Position the sequence of its own
// log after the claim. The log is kept from that position on.
type ShardClaimed struct {
	Row      encoder.ShardRow
	Position int
}

// ShardLoaded enables checkpoints of a shard.
type ShardLoaded struct{ Shard string }

// ShardDraining disables checkpoints of a shard before its handover.
type ShardDraining struct{ Shard string }

// ShardRemoved removes a shard after its handover.
type ShardRemoved struct{ Shard string }

// LogAppended reports the sequence of the daemon's own log, the number of bytes
// appended to it, or both.
type LogAppended struct{ Sequence, Bytes int }

// RecordsWritten reports that the shard has records that its last checkpoint does not
// cover.
type RecordsWritten struct{ Shard string }

// SnapshotStored reports the outcome of a StoreSnapshot: the name of the object and
// the log position that it covers.
type SnapshotStored struct {
	Shard, Name string
	Position    int
	OK          bool
}

// CheckpointFinished reports the outcome of a WriteCheckpoint.
type CheckpointFinished struct {
	Shard string
	OK    bool
}

// LeaseLost removes all shards; the next incarnation starts a new log.
type LeaseLost struct{}

// Tick triggers a checkpoint that has become due.
type Tick struct{}

func (ShardClaimed) message()       {}
func (ShardLoaded) message()        {}
func (ShardDraining) message()      {}
func (ShardRemoved) message()       {}
func (LogAppended) message()        {}
func (RecordsWritten) message()     {}
func (SnapshotStored) message()     {}
func (CheckpointFinished) message() {}
func (LeaseLost) message()          {}
func (Tick) message()               {}

// Command is an output of State.Update.
type Command interface{ command() }

// StoreSnapshot takes a snapshot and appends a marker to the log in the same step,
// then stores the snapshot as an object. Reply with SnapshotStored.
type StoreSnapshot struct{ Shard string }

// WriteCheckpoint writes the shard row, to which the caller adds the open range of its
// own log that starts after Position. Reply with CheckpointFinished.
type WriteCheckpoint struct {
	Row      encoder.ShardRow
	Position int
}

// DeleteSnapshot deletes a snapshot that a newer one has replaced.
type DeleteSnapshot struct{ Name string }

// TrimLog deletes the rows of the daemon's own log up to and including Through.
type TrimLog struct{ Through int }

func (StoreSnapshot) command()   {}
func (WriteCheckpoint) command() {}
func (DeleteSnapshot) command()  {}
func (TrimLog) command()         {}

// ownedShard is the checkpoint state of one owned shard.
type ownedShard struct {
	row encoder.ShardRow
	// position is the sequence of the own log after which a replay starts.
	position int
	// foreignLogs is set while the row refers to logs of earlier owners.
	foreignLogs bool
	loaded      bool
	// dirty is set when the shard may have records that its last checkpoint does not
	// cover.
	dirty bool
	// dirtySince is when the shard became dirty: with its first record after a
	// checkpoint, or at the end of a checkpoint when the log has grown meanwhile.
	dirtySince     time.Time
	storedSnapshot SnapshotStored
}

// State decides when shards are checkpointed. It has no I/O.
type State struct {
	options  Options
	shards   map[string]*ownedShard
	sequence int
	// trimmedThrough is the sequence up to which the log has been trimmed.
	trimmedThrough       int
	bytesSinceCheckpoint int
	// checkpointing is the shard whose checkpoint is in progress, or "".
	checkpointing    string
	nextCheckpointAt time.Time
}

// New returns a State without shards.
func New(options Options) *State {
	if options.MaxLogRows == 0 {
		options.MaxLogRows = DefaultMaxLogRows
	}
	if options.MaxLogBytes == 0 {
		options.MaxLogBytes = DefaultMaxLogBytes
	}
	if options.MaxCheckpointAge == 0 {
		options.MaxCheckpointAge = DefaultMaxCheckpointAge
	}
	if options.MinCheckpointInterval == 0 {
		options.MinCheckpointInterval = DefaultMinCheckpointInterval
	}
	return &State{options: options, shards: map[string]*ownedShard{}}
}

// Update processes one message and returns the commands to execute.
func (s *State) Update(now time.Time, message Message) []Command {
	var commands []Command
	switch m := message.(type) {
	case ShardClaimed:
		foreign := len(m.Row.Logs) > 0
		s.shards[m.Row.Shard] = &ownedShard{row: m.Row, position: m.Position, foreignLogs: foreign, dirtySince: now}
	case ShardLoaded:
		s.setLoaded(m.Shard, true)
	case ShardDraining:
		s.setLoaded(m.Shard, false)
	case ShardRemoved:
		commands = s.removeShard(m.Shard)
	case LogAppended:
		s.sequence = max(s.sequence, m.Sequence)
		s.bytesSinceCheckpoint += m.Bytes
	case RecordsWritten:
		if shard := s.shards[m.Shard]; shard != nil && !shard.dirty {
			shard.dirty, shard.dirtySince = true, now
		}
	case SnapshotStored:
		commands = s.writeCheckpoint(now, m)
	case CheckpointFinished:
		commands = s.finishCheckpoint(now, m)
	case LeaseLost:
		*s = *New(s.options)
	case Tick:
	}
	return append(commands, s.startCheckpoint(now)...)
}

// setLoaded enables or disables checkpoints of a shard. It ends the one in progress.
func (s *State) setLoaded(name string, loaded bool) {
	if shard := s.shards[name]; shard != nil {
		shard.loaded = loaded
	}
	if s.checkpointing == name {
		s.checkpointing = ""
	}
}

// removeShard removes a shard after its handover, which has stored another snapshot,
// and deletes the snapshot of the last checkpoint.
func (s *State) removeShard(name string) []Command {
	s.setLoaded(name, false)
	var commands []Command
	if old := s.CurrentSnapshot(name); old != "" {
		commands = append(commands, DeleteSnapshot{Name: old})
	}
	delete(s.shards, name)
	return append(commands, s.trim(s.options.MaxLogRows/handoverTrimDivisor)...)
}

// startCheckpoint starts the most urgent checkpoint that is due. One checkpoint is in
// progress at a time.
func (s *State) startCheckpoint(now time.Time) []Command {
	if s.checkpointing != "" || now.Before(s.nextCheckpointAt) {
		return nil
	}
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(s.shards)), func(name string) bool { return !s.shards[name].loaded })
	if len(names) == 0 {
		return nil
	}
	first := slices.MinFunc(names, func(a, b string) int { return s.compare(s.shards[a], s.shards[b]) })
	shard := s.shards[first]
	logTooLong := s.sequence-shard.position >= s.options.MaxLogRows ||
		s.bytesSinceCheckpoint >= s.options.MaxLogBytes/len(s.shards) && s.sequence > shard.position
	tooOld := shard.dirty && now.Sub(shard.dirtySince) >= s.options.MaxCheckpointAge
	if !shard.foreignLogs && !logTooLong && !tooOld {
		return nil
	}
	s.checkpointing = first
	s.nextCheckpointAt = now.Add(s.options.MinCheckpointInterval)
	s.bytesSinceCheckpoint = 0
	return []Command{StoreSnapshot{Shard: first}}
}

// compare orders shards that refer to logs of earlier owners first, then by position:
// the lowest position keeps the log from being trimmed.
func (s *State) compare(a, b *ownedShard) int {
	if a.foreignLogs != b.foreignLogs {
		if a.foreignLogs {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.position, b.position)
}

// writeCheckpoint returns the WriteCheckpoint for a stored snapshot.
func (s *State) writeCheckpoint(now time.Time, m SnapshotStored) []Command {
	shard := s.shards[m.Shard]
	if shard == nil || s.checkpointing != m.Shard {
		return nil
	}
	if !m.OK {
		s.scheduleRetry(now)
		return nil
	}
	shard.storedSnapshot = m
	row := shard.row
	row.Snapshot, row.Logs = m.Name, nil
	return []Command{WriteCheckpoint{Row: row, Position: m.Position}}
}

// scheduleRetry ends a failed checkpoint and delays the next one.
func (s *State) scheduleRetry(now time.Time) {
	s.checkpointing = ""
	s.nextCheckpointAt = now.Add(10 * s.options.MinCheckpointInterval)
}

// finishCheckpoint records a written checkpoint and returns the deletions that it
// allows.
func (s *State) finishCheckpoint(now time.Time, m CheckpointFinished) []Command {
	shard := s.shards[m.Shard]
	if shard == nil || s.checkpointing != m.Shard {
		return nil
	}
	if !m.OK {
		s.scheduleRetry(now)
		return nil
	}
	s.checkpointing = ""
	var commands []Command
	if old := shard.row.Snapshot; old != "" && old != shard.storedSnapshot.Name {
		commands = append(commands, DeleteSnapshot{Name: old})
	}
	shard.row.Snapshot, shard.row.Logs = shard.storedSnapshot.Name, nil
	shard.position, shard.foreignLogs = shard.storedSnapshot.Position, false
	shard.dirty = shard.position < s.sequence
	shard.dirtySince = now
	return append(commands, s.trim(1)...)
}

// handoverTrimDivisor is the divisor of MaxLogRows that gives the fewest rows that a
// handover trims. Fewer rows are left to the next checkpoint, so that a drain does not
// write a deletion for each of its shards.
const handoverTrimDivisor = 8

// trim deletes the log rows that no owned shard needs, if there are at least minRows.
func (s *State) trim(minRows int) []Command {
	lowest := s.sequence
	for _, shard := range s.shards {
		lowest = min(lowest, shard.position)
	}
	if lowest < s.trimmedThrough+max(1, minRows) {
		return nil
	}
	s.trimmedThrough = lowest
	return []Command{TrimLog{Through: lowest}}
}

// CurrentSnapshot returns the name of the snapshot in the shard's row, or "" when
// there is none or the shard is not owned.
func (s *State) CurrentSnapshot(name string) string {
	if shard := s.shards[name]; shard != nil {
		return shard.row.Snapshot
	}
	return ""
}
