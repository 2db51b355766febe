package assembler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/dispatcher"
	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// feedWait is how long a feed waits for a change. A connection that has gone silent
	// shows after that, within the time in which changes must be in force.
	feedWait = 1500 * time.Millisecond
	// feedWaitAfterError applies until a feed has been answered again.
	feedWaitAfterError = 20 * time.Millisecond
	// listTimeout bounds the reading of a whole table.
	listTimeout = time.Second
	// minRetryDelay is the pause after a failure, doubled up to longestFeedPause.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// tickInterval is the interval at which beliefs expire.
	tickInterval = 250 * time.Millisecond
)

// feed follows one table: it reads the table, then its changes, and starts anew when
// the history is gone. While changes cannot be read for long, the table is read instead.
type feed struct {
	store       provider.RowStore
	table       string
	log         *zap.Logger
	version     int64
	unreachable bool
	// onSnapshot gets all rows of the table, changed those that have changed since.
	onSnapshot func(rows []provider.VersionedRow)
	onChanges  func(rows []provider.VersionedRow)
	// onResponse is told of each answer.
	onResponse func()
	// onReachability is told when the table cannot be read, and when it can be read again.
	onReachability func(ok bool)
}

func (f *feed) run(ctx context.Context) {
	listed := false
	delay := minRetryDelay
	for ctx.Err() == nil {
		var err error
		if listed {
			err = f.readChanges(ctx)
		} else {
			err = f.readTable(ctx)
		}
		if err == nil {
			listed, delay = true, minRetryDelay
			f.setReachable(true, nil)
			continue
		}
		if provider.KindOf(err) == provider.KindNotFound {
			f.log.Info("history of the store is gone", zap.String("table", f.table), zap.Int64("version", f.version))
			listed = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.setReachable(false, err)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// setReachable logs the loss and the return of the store.
func (f *feed) setReachable(reachable bool, err error) {
	if reachable == !f.unreachable {
		return
	}
	f.unreachable = !reachable
	f.onReachability(reachable)
	f.log.Info("feed of the store", zap.String("table", f.table), zap.Bool("reachable", reachable),
		zap.Int64("version", f.version), zap.Error(err))
}

func (f *feed) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var rows []provider.VersionedRow
	from := ""
	var version int64
	for {
		page, err := f.store.Range(ctx, provider.RowRange{Table: f.table, From: from})
		if err != nil {
			return err
		}
		if version == 0 {
			// Changes during the reading of later pages are read again from the feed.
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			break
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
	f.version = version
	f.onSnapshot(rows)
	return nil
}

func (f *feed) readChanges(ctx context.Context) error {
	wait := feedWait
	if f.unreachable {
		// A short wait shows soon that the store is back.
		wait = feedWaitAfterError
	}
	page, err := f.store.Feed(ctx, f.table, f.version, wait)
	if err != nil {
		return err
	}
	f.onResponse()
	f.version = max(f.version, page.Version)
	if len(page.Rows) > 0 {
		f.onChanges(page.Rows)
	}
	return nil
}

// followerRunner owns what is believed about configuration and targets.
type followerRunner struct {
	state              *follower.State
	catalog            follower.Catalog
	regionByDomain     map[string]string
	log                *zap.Logger
	inbox              chan follower.Message
	applyConfiguration func(c *follower.Configuration)
	dispatch           func(m dispatcher.Message)
	// publishTargets publishes the IDs in use, for the pool of connections.
	publishTargets func(ids map[string]follower.Target)
	readiness      *readinessState
	// onStoreResponse is told when the store answers.
	onStoreResponse func()
}

func (c *followerRunner) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox:
			c.update(m)
		case <-tick.C:
			c.update(follower.Tick{})
		}
	}
}

func (c *followerRunner) update(m follower.Message) {
	changes := c.state.Update(time.Now(), m)
	targetsChanged := false
	for _, change := range changes {
		switch change.Kind {
		case "configuration":
			c.applyConfiguration(c.state.Configuration())
			c.log.Info("configuration in force", zap.Int64("version", change.Version))
		case "staleConfiguration":
			c.log.Warn("older configuration ignored", zap.Int64("version", change.Version),
				zap.Int64("inForce", c.state.Configuration().Version))
		default:
			targetsChanged = true
			c.log.Info(change.Kind, zap.String("target", change.Target.ID), zap.String("service", change.Target.Service),
				zap.String("address", change.Target.Address), zap.String("domain", change.Target.Domain),
				zap.Bool("leaving", change.Target.Leaving), zap.Int64("born", change.Target.Born))
		}
	}
	if targetsChanged {
		c.dispatch(dispatcher.TargetsChanged{Targets: c.state.Targets(), Regions: c.regionByDomain})
		c.publishTargets(c.state.Targets())
	}
	c.readiness.update(c.state)
}

func (c *followerRunner) send(ctx context.Context, m follower.Message) {
	select {
	case c.inbox <- m:
	case <-ctx.Done():
	}
}

// configurationFeed follows the operators' table.
func (c *followerRunner) configurationFeed(ctx context.Context, store provider.RowStore) *feed {
	sendConfigurations := func(rows []provider.VersionedRow) {
		for i := range rows {
			if !c.catalog.IsConfiguration(&rows[i]) {
				continue
			}
			configuration, err := c.catalog.Configuration(rows[i].Value)
			if err != nil {
				c.log.Error("configuration not readable", zap.Int64("rowVersion", rows[i].Version), zap.Error(err))
				continue
			}
			c.send(ctx, follower.ConfigurationRead{Configuration: configuration})
		}
	}
	return &feed{
		store: store, table: c.catalog.ConfigurationTable(), log: c.log, onSnapshot: sendConfigurations, onChanges: sendConfigurations,
		onReachability: func(bool) {}, onResponse: c.onStoreResponse,
	}
}

// targetFeed follows the table in which targets register.
func (c *followerRunner) targetFeed(ctx context.Context, store provider.RowStore) *feed {
	decode := func(row *provider.VersionedRow) (follower.Target, bool) {
		t, err := c.catalog.Target(time.Now(), row.Key, row.Value)
		if err != nil {
			c.log.Warn("entry of a target ignored", zap.String("target", row.Key), zap.Int64("rowVersion", row.Version), zap.Error(err))
		}
		return t, err == nil
	}
	return &feed{
		store: store, table: c.catalog.TargetTable(), log: c.log, onResponse: c.onStoreResponse,
		onSnapshot: func(rows []provider.VersionedRow) {
			targets := make([]follower.Target, 0, len(rows))
			for i := range rows {
				if t, ok := decode(&rows[i]); ok {
					targets = append(targets, t)
				}
			}
			c.send(ctx, follower.TargetsListed{Targets: targets})
		},
		onChanges: func(rows []provider.VersionedRow) {
			for i := range rows {
				if rows[i].Deleted {
					c.send(ctx, follower.TargetRemoved{ID: rows[i].Key})
				} else if t, ok := decode(&rows[i]); ok {
					c.send(ctx, follower.TargetChanged{Target: t})
				}
			}
		},
		onReachability: func(ok bool) {
			if ok {
				c.send(ctx, follower.StoreRegained{})
				return
			}
			c.send(ctx, follower.StoreLost{})
		},
	}
}
