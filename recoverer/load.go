package recoverer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// scanPageRows is the number of log rows in one page. Rows have up to 256 KB, so a
// page has at most 8 MB.
const scanPageRows = 32

// checksumBytes is the length of the checksum that precedes a snapshot.
const checksumBytes = 8

// LoadedShard is the content of a shard as read from the store.
type LoadedShard struct {
	// Snapshot is nil when the shard has none.
	Snapshot []byte
	// Records follow the snapshot, in the order in which they were committed.
	Records []encoder.Record
	// LogBytes is the total size of the log rows that were read.
	LogBytes int
}

// Loader reads the content of shards from the store.
type Loader struct {
	stores committer.Stores
	limit  *rate.Limiter
}

// NewLoader returns a Loader. limit is the daemon's share of the store's reads.
func NewLoader(stores committer.Stores, limit *rate.Limiter) *Loader {
	return &Loader{stores: stores, limit: limit}
}

// SnapshotName returns the name of a snapshot object. The position makes it unique
// within an incarnation.
func SnapshotName(shard, incarnation string, epoch, position int) string {
	return fmt.Sprintf("%s%012d-%s-%012d", SnapshotPrefix(shard), epoch, incarnation, position)
}

// SnapshotPrefix returns the prefix of the names of a shard's snapshots.
func SnapshotPrefix(shard string) string { return "snapshots/" + shard + "/" }

// PutSnapshot stores a snapshot, preceded by its checksum, as an object.
func (l *Loader) PutSnapshot(ctx context.Context, name string, snapshot []byte) error {
	value := binary.BigEndian.AppendUint64(make([]byte, 0, checksumBytes+len(snapshot)), xxhash.Sum64(snapshot))
	return l.stores.Objects.Put(ctx, name, append(value, snapshot...))
}

// Load reads the snapshot and the log ranges that a shard row names. The row must be
// that of a claim before the claimer's own open range is added. On failure Load
// returns an *Error and no content.
func (l *Loader) Load(ctx context.Context, row encoder.ShardRow) (LoadedShard, error) {
	var loaded LoadedShard
	if row.Snapshot != "" {
		value, err := l.readObject(ctx, row.Snapshot)
		if err != nil {
			return LoadedShard{}, err
		}
		if len(value) < checksumBytes || xxhash.Sum64(value[checksumBytes:]) != binary.BigEndian.Uint64(value) {
			return LoadedShard{}, &Error{operation: "snapshot", kind: KindDamaged, name: row.Snapshot}
		}
		loaded.Snapshot = value[checksumBytes:]
	}
	for _, logRange := range row.Logs {
		if err := l.replay(ctx, row.Shard, logRange, &loaded); err != nil {
			return LoadedShard{}, err
		}
	}
	return loaded, nil
}

// replay adds the shard's records in one log range to loaded.
func (l *Loader) replay(ctx context.Context, shard string, logRange encoder.LogRange, loaded *LoadedShard) error {
	prefix := logRange.Host + "/" + logRange.Incarnation + "/"
	next := logRange.After + 1
	for logRange.Through == 0 || next <= logRange.Through {
		after := committer.LogKey(logRange.Host, logRange.Incarnation, next-1)
		if err := l.limit.Wait(ctx); err != nil {
			return &Error{operation: "scan", kind: KindUnavailable, name: after, cause: err}
		}
		rows, err := l.stores.Tables.Scan(ctx, committer.TableLog, prefix, after, scanPageRows)
		if err != nil {
			return &Error{operation: "scan", kind: KindUnavailable, name: after, cause: err}
		}
		for _, row := range rows {
			if logRange.Through != 0 && next > logRange.Through {
				return nil
			}
			if err := l.addRow(ctx, shard, logRange, next, row, loaded); err != nil {
				return err
			}
			next++
		}
		if len(rows) < scanPageRows && (logRange.Through == 0 || next > logRange.Through) {
			return nil
		}
		if len(rows) == 0 {
			return missingRow(logRange, next)
		}
	}
	return nil
}

// missingRow returns the error for a log row that does not exist.
func missingRow(logRange encoder.LogRange, sequence int) error {
	return &Error{
		operation: "replay", kind: KindMissing,
		name: committer.LogKey(logRange.Host, logRange.Incarnation, sequence),
	}
}

// addRow adds the shard's records in one log row to loaded. The row must have the
// sequence next.
func (l *Loader) addRow(ctx context.Context, shard string, logRange encoder.LogRange, next int,
	row provider.Row, loaded *LoadedShard,
) error {
	if row.Key != committer.LogKey(logRange.Host, logRange.Incarnation, next) {
		return missingRow(logRange, next)
	}
	batch, err := committer.DecodeBatch(row.Value)
	if err == nil && batch.Sequence != next {
		err = errors.New("the sequence in the row differs from that in its key")
	}
	if err != nil {
		return &Error{operation: "replay", kind: KindDamaged, name: row.Key, cause: err}
	}
	loaded.LogBytes += len(row.Value)
	for _, record := range batch.Records {
		if record.Shard != shard {
			continue
		}
		if record.Object != "" {
			body, err := l.readObject(ctx, record.Object)
			if err != nil {
				return err
			}
			record.Body, record.Object = string(body), ""
		}
		loaded.Records = append(loaded.Records, record)
	}
	return nil
}

// readObject reads an object that must exist.
func (l *Loader) readObject(ctx context.Context, name string) ([]byte, error) {
	if err := l.limit.Wait(ctx); err != nil {
		return nil, &Error{operation: "object", kind: KindUnavailable, name: name, cause: err}
	}
	value, err := l.stores.Objects.Get(ctx, name)
	switch provider.KindOf(err) {
	case provider.KindNone:
		return value, nil
	case provider.KindNotFound:
		return nil, &Error{operation: "object", kind: KindMissing, name: name, cause: err}
	default:
		return nil, &Error{operation: "object", kind: KindUnavailable, name: name, cause: err}
	}
}

// DeleteOldSnapshots deletes the snapshots that earlier owners of a shard have not
// deleted. row is the claimed row; its snapshot and those of its epoch or a later one
// are kept. The first failure ends the deletion.
func (l *Loader) DeleteOldSnapshots(ctx context.Context, row encoder.ShardRow) error {
	names, err := l.stores.Objects.List(ctx, SnapshotPrefix(row.Shard))
	own := fmt.Sprintf("%s%012d", SnapshotPrefix(row.Shard), row.Epoch)
	for _, name := range names {
		if name < own && name != row.Snapshot && err == nil {
			err = l.stores.Objects.Delete(ctx, name)
		}
	}
	return err
}
