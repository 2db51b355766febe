package controller

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/committer"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/lessor"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/recoverer"
	"github.com/dogwoodweir/dogwoodweir/sequencer"
)

// lease updates the lessor and executes its commands.
func (o *ownership) lease(message lessor.Message) {
	o.mu.Lock()
	commands := o.lessor.Update(o.d.platform.Clock.Now(), message)
	o.shards.Store(int64(len(o.lessor.Owned())))
	o.mu.Unlock()
	for _, command := range commands {
		o.execute(command)
	}
}

func (o *ownership) execute(command lessor.Command) {
	switch c := command.(type) {
	case lessor.FenceHost:
		o.fence(c)
	case lessor.ClaimShards:
		o.claim(c)
	case lessor.LoadShard:
		o.load(c)
	case lessor.DrainShard:
		o.draining[c.Shard] = true
		o.recover(recoverer.ShardDraining{Shard: c.Shard})
		o.port.Deliver(sequencer.ShardClosing{Shard: c.Shard})
	case lessor.ResumeShard:
		o.keep(c.Shard)
	case lessor.HandOverShard:
		o.handOver(c)
	case lessor.DropShard:
		delete(o.draining, c.Shard)
		o.port.Deliver(sequencer.ShardReleased{Shard: c.Shard})
	case lessor.ReadLeaseRows:
		o.scan(committer.TableLeases, c.Hosts, func(rows []provider.Row, failed []string) lessor.Message {
			return lessor.LeaseRowsRead{Rows: rows, Failed: failed}
		})
	case lessor.ReadShardRows:
		o.scan(committer.TableShards, c.Shards, func(rows []provider.Row, failed []string) lessor.Message {
			return lessor.ShardRowsRead{Rows: rows, Failed: failed}
		})
	case lessor.LeaseChanged:
		o.d.logger.Info("own lease changed", zap.Bool("valid", c.Valid))
		o.port.Deliver(sequencer.LeaseChanged{Valid: c.Valid})
	case lessor.Drained:
		o.d.logger.Info("all shards are handed over")
		o.runner.Send(committer.ReleaseRequested{})
	case lessor.RowDamaged:
		o.d.logger.Error("row is damaged", zap.String("table", c.Table), zap.String("key", c.Key))
	}
}

// scan reads rows one by one. After a failure the others are not tried.
func (o *ownership) scan(table string, keys []string, result func([]provider.Row, []string) lessor.Message) {
	o.d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		var rows []provider.Row
		for i, key := range keys {
			row, err := o.d.platform.Tables.Read(ctx, table, key)
			if err != nil {
				o.loop.Post(lessorMessage{result(rows, keys[i:])})
				return
			}
			row.Table, row.Key = table, key
			rows = append(rows, row)
		}
		o.loop.Post(lessorMessage{result(rows, nil)})
	})
}

func (o *ownership) fence(c lessor.FenceHost) {
	value, err := json.Marshal(c.Row)
	if err != nil {
		return
	}
	o.d.logger.Info("fencing an expired lease", zap.String("holder", c.Host))
	transaction := provider.Transaction{
		ID:         o.d.newID(),
		Conditions: []provider.Condition{{Table: committer.TableLeases, Key: c.Host, Version: c.Version}},
		Writes:     []provider.Write{{Table: committer.TableLeases, Key: c.Host, Value: value}},
	}
	o.d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		_, err := o.d.platform.Tables.Commit(ctx, transaction)
		o.loop.Post(lessorMessage{lessor.FenceFinished{Host: c.Host, Kind: provider.KindOf(err)}})
	})
}

func (o *ownership) claim(c lessor.ClaimShards) {
	var r committer.AppendRequested
	var names []string
	for _, claim := range c.Claims {
		names = append(names, claim.Row.Shard)
		r.Shards = append(r.Shards, committer.ShardWrite{Row: claim.Row, Version: claim.Version, AppendLogRange: true})
	}
	o.request(r, func(kind provider.Kind, sequence int) {
		o.d.logger.Info("claim of shards finished", zap.Strings("shards", names), zap.Stringer("outcome", kind))
		if kind == provider.KindFenced {
			return
		}
		if kind == provider.KindNone {
			for _, claim := range c.Claims {
				o.recover(recoverer.ShardClaimed{Row: claim.Row, Position: sequence})
			}
		}
		o.lease(lessor.ClaimFinished{Shards: names, Kind: kind})
	})
}

// load restores a claimed shard and gives it to the program loop.
func (o *ownership) load(c lessor.LoadShard) {
	incarnation := o.incarnation
	o.d.effect(func(ctx context.Context) {
		loaded, err := o.loader.Load(ctx, c.Row)
		if err != nil {
			if ctx.Err() == nil {
				o.d.logger.Error("shard cannot be loaded", zap.String("shard", c.Shard), zap.Error(err))
			}
			o.loop.Post(shardRead{shard: c.Shard, incarnation: incarnation, failed: true})
			return
		}
		o.loop.Post(shardRead{shard: c.Shard, epoch: c.Row.Epoch, loaded: loaded, incarnation: incarnation})
		if err := o.loader.DeleteOldSnapshots(ctx, c.Row); err != nil && ctx.Err() == nil {
			o.d.logger.Info("old snapshots cannot be deleted", zap.String("shard", c.Shard), zap.Error(err))
		}
	})
}

// shardRead has the content of a shard.
type shardRead struct {
	shard       string
	epoch       int
	incarnation string
	loaded      recoverer.LoadedShard
	failed      bool
}

func (shardRead) isOwnerMessage() {}

// acquire gives a loaded shard to the program loop, unless the lease has been lost
// while it was read.
func (o *ownership) acquire(m shardRead) {
	if m.incarnation != o.incarnation {
		return
	}
	if m.failed {
		o.lease(lessor.ShardLoaded{Shard: m.shard})
		return
	}
	o.port.Deliver(sequencer.ShardAcquired{
		Shard: m.shard, Epoch: m.epoch, Snapshot: m.loaded.Snapshot, Records: m.loaded.Records,
	})
	o.d.logger.Info("shard is loaded", zap.String("shard", m.shard), zap.Int("epoch", m.epoch),
		zap.Int("records", len(m.loaded.Records)))
	o.recover(recoverer.ShardLoaded{Shard: m.shard})
	o.lease(lessor.ShardLoaded{Shard: m.shard, OK: true})
}

// checkIdle asks the program loop which draining shards can be handed over.
func (o *ownership) checkIdle() {
	if len(o.draining) == 0 {
		return
	}
	names := make([]string, 0, len(o.draining))
	for name := range o.draining {
		names = append(names, name)
	}
	o.port.Query(func(s *sequencer.State) {
		for _, name := range names {
			if s.ShardIdle(name) {
				o.loop.Post(lessorMessage{lessor.ShardIdle{Shard: name}})
			}
		}
	})
}

// keep serves a shard again whose handover was given up, from its snapshot if it was
// already taken from the program loop.
func (o *ownership) keep(shard string) {
	delete(o.draining, shard)
	if kept, taken := o.kept[shard]; taken {
		delete(o.kept, shard)
		o.port.Deliver(kept)
	} else {
		o.port.Deliver(sequencer.ShardReopened{Shard: shard})
	}
	o.recover(recoverer.ShardLoaded{Shard: shard})
}

// handOver takes a shard from the program loop.
func (o *ownership) handOver(c lessor.HandOverShard) {
	delete(o.draining, c.Shard)
	incarnation := o.incarnation
	taken := func(snapshot []byte) {
		o.loop.Post(shardTaken{row: c.Row, to: c.To, snapshot: snapshot, incarnation: incarnation})
	}
	if !o.port.TakeShard(c.Shard, taken) {
		taken(nil)
	}
}

// shardTaken has the snapshot of a shard that was taken from the program loop; nil
// means that the shard was not idle and stays.
type shardTaken struct {
	row         encoder.ShardRow
	to          string
	snapshot    []byte
	incarnation string
}

func (shardTaken) isOwnerMessage() {}

// storeHandOver stores the snapshot of a shard that is handed over.
func (o *ownership) storeHandOver(m shardTaken) {
	if m.incarnation != o.incarnation {
		return
	}
	shard := m.row.Shard
	if m.snapshot == nil {
		o.lease(lessor.HandoverFinished{Shard: shard, Kind: provider.KindUnavailable})
		return
	}
	o.kept[shard] = sequencer.ShardAcquired{Shard: shard, Epoch: m.row.Epoch - 1, Snapshot: m.snapshot}
	m.row.Snapshot = recoverer.SnapshotName(shard, m.incarnation, m.row.Epoch, int(-o.ticket.Add(-1)))
	o.d.effect(func(ctx context.Context) {
		err := o.loader.PutSnapshot(ctx, m.row.Snapshot, m.snapshot)
		o.loop.Post(handOverReady{row: m.row, to: m.to, incarnation: m.incarnation, err: err})
	})
}

// handOverReady has the row of a shard whose snapshot is stored, unless err is set.
type handOverReady struct {
	row         encoder.ShardRow
	to          string
	incarnation string
	err         error
}

func (handOverReady) isOwnerMessage() {}

func (o *ownership) writeHandOver(m handOverReady) {
	if m.incarnation != o.incarnation {
		return
	}
	if m.err != nil {
		o.d.logger.Warn("shard cannot be handed over", zap.String("shard", m.row.Shard), zap.Error(m.err))
		o.lease(lessor.HandoverFinished{Shard: m.row.Shard, Kind: provider.KindUnavailable})
		return
	}
	r := committer.AppendRequested{Shards: []committer.ShardWrite{{Row: m.row, Version: committer.AnyVersion}}}
	o.request(r, func(kind provider.Kind, _ int) {
		if kind == provider.KindFenced {
			return
		}
		if kind == provider.KindNone {
			delete(o.kept, m.row.Shard)
			o.recover(recoverer.ShardRemoved{Shard: m.row.Shard})
			if m.to != "" {
				o.port.Handover(m.to, m.row.Shard, m.row.Epoch)
			}
		}
		o.lease(lessor.HandoverFinished{Shard: m.row.Shard, Kind: kind})
	})
}

// recover updates the recoverer and executes its commands.
func (o *ownership) recover(message recoverer.Message) {
	for _, command := range o.recoverer.Update(o.d.platform.Clock.Now(), message) {
		switch c := command.(type) {
		case recoverer.StoreSnapshot:
			o.snapshot(c.Shard)
		case recoverer.WriteCheckpoint:
			o.checkpoint(c)
		case recoverer.DeleteSnapshot:
			o.d.effect(func(ctx context.Context) { _ = o.d.platform.Objects.Delete(ctx, c.Name) })
		case recoverer.TrimLog:
			o.request(committer.AppendRequested{TrimThrough: c.Through}, func(provider.Kind, int) {})
		}
	}
}

// snapshotTaken has a snapshot; the marker with the ticket follows the records that
// it covers.
type snapshotTaken struct {
	shard    string
	snapshot []byte
	position int
	ok       bool
}

// snapshot takes a snapshot and appends a marker in one step of the program loop.
// The marker's position is that of the snapshot in the log.
func (o *ownership) snapshot(shard string) {
	ticket := committer.Ticket(o.ticket.Add(-1))
	var snapshot []byte
	o.waiting[ticket] = func(kind provider.Kind, sequence int) {
		o.storeSnapshot(snapshotTaken{shard: shard, snapshot: snapshot, position: sequence, ok: kind == provider.KindNone && snapshot != nil})
	}
	asked := o.port.Query(func(s *sequencer.State) {
		snapshot = s.Snapshot(shard)
		// The report of the marker follows in the loop after this step.
		if err := o.runner.Append(committer.AppendRequested{Ticket: ticket}); err != nil {
			o.loop.Post(committed{committer.TicketDropped{Ticket: ticket}})
		}
	})
	if !asked {
		o.finish(ticket, provider.KindUnavailable, 0)
	}
}

func (o *ownership) storeSnapshot(m snapshotTaken) {
	if !m.ok {
		o.recover(recoverer.SnapshotStored{Shard: m.shard})
		return
	}
	o.mu.Lock()
	_, epoch, _ := o.lessor.Owner(m.shard)
	o.mu.Unlock()
	incarnation := o.incarnation
	name := recoverer.SnapshotName(m.shard, incarnation, epoch, m.position)
	o.d.effect(func(ctx context.Context) {
		err := o.loader.PutSnapshot(ctx, name, m.snapshot)
		o.loop.Post(snapshotStored{incarnation, recoverer.SnapshotStored{Shard: m.shard, Name: name, Position: m.position, OK: err == nil}})
	})
}

// snapshotStored says that a snapshot of an incarnation's shard is stored.
type snapshotStored struct {
	incarnation string
	message     recoverer.SnapshotStored
}

func (snapshotStored) isOwnerMessage() {}

func (o *ownership) checkpoint(c recoverer.WriteCheckpoint) {
	row := c.Row
	row.Logs = []encoder.LogRange{{Host: o.d.settings.Host, Incarnation: o.incarnation, After: c.Position}}
	r := committer.AppendRequested{Shards: []committer.ShardWrite{{Row: row, Version: committer.AnyVersion}}}
	o.request(r, func(kind provider.Kind, _ int) {
		o.recover(recoverer.CheckpointFinished{Shard: row.Shard, OK: kind == provider.KindNone})
	})
}
