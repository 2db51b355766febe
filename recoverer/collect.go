package recoverer

import (
	"context"
	"encoding/json"
	"strings"

	"golang.org/x/time/rate"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// collectPageRows is the number of rows in one page and in one deletion.
const collectPageRows = 100

// Collector deletes the logs of ended incarnations.
type Collector struct {
	stores committer.Stores
	limit  *rate.Limiter
}

// NewCollector returns a Collector. limit bounds its reads of rows, one of which
// precedes each deletion of rows.
func NewCollector(stores committer.Stores, limit *rate.Limiter) *Collector {
	return &Collector{stores: stores, limit: limit}
}

// Collect deletes the logs whose incarnation has ended and to which no shard row
// refers, and returns the number of deleted logs, also on failure. Run it every few
// minutes on one daemon; concurrent runs are harmless.
func (c *Collector) Collect(ctx context.Context) (int, error) {
	logs, err := c.logs(ctx)
	if err != nil {
		return 0, err
	}
	// The leases are read before the shards: an incarnation that has ended cannot add
	// a reference to its log afterwards.
	var endedLogs []string
	for _, log := range logs {
		ended, err := c.ended(ctx, log)
		if err != nil {
			return 0, err
		}
		if ended {
			endedLogs = append(endedLogs, log)
		}
	}
	if len(endedLogs) == 0 {
		return 0, nil
	}
	referenced, err := c.referencedLogs(ctx)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, log := range endedLogs {
		if referenced[log] {
			continue
		}
		if err := c.deleteLog(ctx, log); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

// scan reads one page of rows within the rate limit.
func (c *Collector) scan(ctx context.Context, table, prefix, after string, limit int) ([]provider.Row, error) {
	if err := c.limit.Wait(ctx); err != nil {
		return nil, err
	}
	return c.stores.Tables.Scan(ctx, table, prefix, after, limit)
}

// logs returns the prefixes "host/incarnation/" in the log table. It reads one row of
// each log and skips the rest.
func (c *Collector) logs(ctx context.Context) ([]string, error) {
	var logs []string
	after := ""
	for {
		rows, err := c.scan(ctx, committer.TableLog, "", after, 1)
		if err != nil || len(rows) == 0 {
			return logs, err
		}
		key := rows[0].Key
		log := key[:strings.LastIndexByte(key, '/')+1]
		logs = append(logs, log)
		after = log + "~"
	}
}

// ended reports whether the log's incarnation has ended. It returns false when the
// host has no lease row.
func (c *Collector) ended(ctx context.Context, log string) (bool, error) {
	host, incarnation, _ := strings.Cut(strings.TrimSuffix(log, "/"), "/")
	if err := c.limit.Wait(ctx); err != nil {
		return false, err
	}
	row, err := c.stores.Tables.Read(ctx, committer.TableLeases, host)
	if err != nil || row.Version == provider.VersionAbsent {
		return false, err
	}
	var lease encoder.LeaseRow
	if err := json.Unmarshal(row.Value, &lease); err != nil || lease.Incarnation == "" {
		return false, &Error{operation: "collect", kind: KindDamaged, name: host, cause: err}
	}
	return lease.State != committer.LeaseRowActive || lease.Incarnation != incarnation, nil
}

// referencedLogs returns the prefixes of the logs to which shard rows refer.
func (c *Collector) referencedLogs(ctx context.Context) (map[string]bool, error) {
	referenced := map[string]bool{}
	after := ""
	for {
		rows, err := c.scan(ctx, committer.TableShards, "", after, collectPageRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var shard encoder.ShardRow
			if err := json.Unmarshal(row.Value, &shard); err != nil {
				return nil, &Error{operation: "collect", kind: KindDamaged, name: row.Key, cause: err}
			}
			for _, log := range shard.Logs {
				referenced[log.Host+"/"+log.Incarnation+"/"] = true
			}
			after = row.Key
		}
		if len(rows) < collectPageRows {
			return referenced, nil
		}
	}
}

// deleteLog deletes the rows of a log, then the objects of its records.
func (c *Collector) deleteLog(ctx context.Context, log string) error {
	for {
		rows, err := c.scan(ctx, committer.TableLog, log, "", collectPageRows)
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			break
		}
		transaction := provider.Transaction{ID: "collect " + log}
		for _, row := range rows {
			transaction.Writes = append(transaction.Writes, provider.Write{Table: committer.TableLog, Key: row.Key, Delete: true})
		}
		if _, err := c.stores.Tables.Commit(ctx, transaction); err != nil {
			return err
		}
	}
	names, err := c.stores.Objects.List(ctx, "records/"+log)
	for _, name := range names {
		if err == nil {
			err = c.stores.Objects.Delete(ctx, name)
		}
	}
	return err
}
