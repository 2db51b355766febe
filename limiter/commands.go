package limiter

import (
	"context"
	"encoding/json"
	"errors"
	"math"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// execute carries out a command of the holder. It does not block.
func (l *Limiter) execute(c command) {
	switch c := c.(type) {
	case renewLease:
		go l.renewLease(c)
	case writeRow:
		go l.writeRow(c)
	case readRow:
		go l.readRow(c)
	case readHolders:
		go l.readHolders()
	case borrowTokens:
		go l.borrowTokens(c)
	case notifyHolders:
		for _, host := range c.hosts {
			go l.notify(host, c.group)
		}
	case leaseLapsed:
		l.deps.Log.Warn("lease of quotas has ended; its fractions are confirmed before they are used again", zap.Duration("overdue", c.overdue))
	}
}

// conflictRows returns the rows of a conflict.
func conflictRows(err error) []provider.VersionedRow {
	var conflict *provider.RowConflictError
	if errors.As(err, &conflict) {
		return conflict.Rows
	}
	return nil
}

func (l *Limiter) renewLease(c renewLease) {
	value, err := json.Marshal(encoder.QuotaHolder{Incarnation: l.settings.Incarnation, Renewals: c.renewals})
	if err != nil {
		panic(err)
	}
	key := holderKey(l.settings.Own.Host)
	// The lease counts from before the renewal is sent: the store may have applied it at once.
	sentAt := l.deps.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	version, err := l.deps.Store.Apply(ctx, provider.RowTransaction{
		Conditions: []provider.RowCondition{{RowKey: key, Version: c.version}},
		Writes:     []provider.RowWrite{{RowKey: key, Value: value}},
	})
	m := leaseWritten{kind: provider.KindOf(err), sentAt: sentAt, version: version}
	l.deps.Observe.storeCall("renewLease", m.kind)
	if m.kind == provider.KindConflict {
		for _, row := range conflictRows(err) {
			if row.RowKey != key {
				continue
			}
			m.version = row.Version
			if m.incarnation, err = decodeHolder(&row); err != nil {
				l.deps.Log.Warn("own row of quota holders not decoded; replacing it", zap.Error(err))
			}
		}
	} else if err != nil {
		l.deps.Log.Info("lease of quotas not renewed", zap.Stringer("kind", m.kind), zap.Error(err))
	}
	l.update(m)
}

func (l *Limiter) writeRow(c writeRow) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	began := l.deps.Clock.Now()
	version, err := l.deps.Store.Apply(ctx, provider.RowTransaction{
		Conditions: c.conditions, Writes: []provider.RowWrite{{RowKey: c.group.key(), Value: c.value}},
	})
	kind := provider.KindOf(err)
	l.deps.Observe.storeCall("writeRow", kind)
	switch kind {
	case provider.KindNone:
		for _, change := range c.changes {
			l.deps.Log.Info("fraction of quota changed", zap.String("workspace", change.workspace), zap.String("row", c.group.name()),
				zap.Float64("before", float64(change.before)/wholeQuota), zap.Float64("fraction", float64(change.after)/wholeQuota),
				zap.Float64("need", float64(change.need)/wholeQuota), zap.Float64("tokens", change.taken-change.given),
				zap.Int64("version", version), zap.Int("freed", len(c.conditions)-1))
		}
	case provider.KindConflict:
	default:
		l.deps.Log.Info("fractions of quotas not written", zap.String("row", c.group.name()), zap.Stringer("kind", kind),
			zap.Duration("took", l.deps.Clock.Now().Sub(began)), zap.Error(err))
	}
	l.update(rowWritten{group: c.group, kind: kind, version: version, conflict: conflictRows(err)})
}

func (l *Limiter) readRow(c readRow) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	key := c.group.key()
	page, err := l.deps.Store.Range(ctx, provider.RowRange{
		Table: key.Table, Partition: key.Partition, From: key.Key, To: key.Key + "\x00", Limit: 1,
	})
	m := rowRead{group: c.group, kind: provider.KindOf(err), row: provider.VersionedRow{RowKey: key}}
	l.deps.Observe.storeCall("readRow", m.kind)
	if len(page.Rows) > 0 {
		m.row = page.Rows[0]
	}
	l.update(m)
}

func (l *Limiter) readHolders() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	m := holdersRead{}
	for _, r := range HolderRanges() {
		if m.kind = l.readPartition(ctx, r, &m.rows); m.kind != provider.KindNone {
			break
		}
	}
	l.update(m)
}

// readPartition reads all rows of a partition.
func (l *Limiter) readPartition(ctx context.Context, r provider.RowRange, rows *[]provider.VersionedRow) provider.Kind {
	all, err := provider.ReadAll(r, func(r provider.RowRange) (provider.RowPage, error) {
		page, err := l.deps.Store.Range(ctx, r)
		l.deps.Observe.storeCall("readHolders", provider.KindOf(err))
		return page, err
	})
	*rows = append(*rows, all.Rows...)
	return provider.KindOf(err)
}

func (l *Limiter) borrowTokens(c borrowTokens) {
	m := tokensLent{workspace: c.workspace, host: c.host}
	sentAt := l.deps.Clock.Now()
	if peer, ok := l.peer(c.host); ok {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		defer cancel()
		question := encoder.PermitQuestion{
			Workspace: c.workspace, Needed: int(math.Ceil(c.missing * lendUnit)), Extra: int(c.spare * lendUnit), Lend: true,
		}
		unit := float64(lendUnit)
		if c.ask {
			unit = 1
			question = encoder.PermitQuestion{
				Workspace: c.workspace, Needed: max(1, int(math.Ceil(c.missing))), Extra: int(c.spare),
				WaitMs: int(borrowWait.Milliseconds()), LimitMs: int(borrowWait.Milliseconds()),
			}
		}
		reply, err := l.deps.Peers.AskPermits(ctx, peer, question)
		if err == nil {
			m.tokens = float64(reply.Permits) / unit
		}
	} else {
		// A holder that started after the list was read.
		go l.refresh(context.Background())
	}
	// Tokens of a late reply belong to a time for which the lender has got others since.
	m.drained = m.tokens < c.missing
	m.late = l.deps.Clock.Now().Sub(sentAt) > lentValidity
	l.deps.Observe.borrowed(m.tokens)
	l.update(m)
}

func (l *Limiter) notify(host string, g group) {
	peer, ok := l.peer(host)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	// A notice that is lost is replaced by the next one, or by the periodic read of the row.
	l.deps.Observe.noticeSent(l.deps.Peers.Notify(ctx, peer, encoder.QuotaNotice{Row: g.name()}) == nil)
}
