package controller

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/sequencer"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// pathOf returns a path without its query.
func pathOf(path string) string {
	path, _, _ = strings.Cut(path, "?")
	return path
}

// Bounds on how the entry daemon looks for an owner.
const (
	// ownerWaitExtra is added to the lease: a takeover follows its expiry.
	ownerWaitExtra    = 3 * time.Second
	firstRoutePause   = 30 * time.Millisecond
	longestRoutePause = 400 * time.Millisecond
)

// reroutes are the codes that send the entry daemon to another owner; with them
// nothing has run.
var reroutes = map[string]bool{
	sequencer.CodeNotOwner: true, sequencer.CodeOwnerChanging: true, codeNotYetKnown: true,
	server.CodeOwnerUnreachable: true,
}

// route sends a call to the owner of its program. It looks for another owner while
// that is certain to be harmless: nothing has run, or the call is named by its step
// or key, so that an owner recognises it.
func (d *Daemon) route(ctx context.Context, call server.Call, deadline time.Time, r *relay) server.Response {
	shard := sequencer.ShardOf(call.Program, d.settings.ShardsPerDomain)
	named := call.Step > 0 || call.IdempotencyKey != ""
	wait := time.Duration(d.settings.Timing.LeaseDurationMs)*time.Millisecond + ownerWaitExtra
	giveUp := d.platform.Clock.Now().Add(wait)
	last := refusal(call, server.CodeOwnerUnreachable, "the owner of the program is not known")
	pause := firstRoutePause
	avoid, doubt := "", false
	for try := 0; ; try++ {
		now := d.platform.Clock.Now()
		call.RemainingMs = max(deadline.Sub(now).Milliseconds(), 1)
		host, epoch, known := d.pickOwner(shard, avoid, try)
		if known {
			r.restart()
			if host == d.settings.Host {
				last = d.serve(ctx, call, r.add)
			} else {
				last = d.forward(ctx, host, shard, epoch, call, r)
			}
			again := last.Outcome == server.OutcomeNotRun && reroutes[last.Code] ||
				last.Outcome == server.OutcomeUnknown && named && (last.Code == codeOwnerLost || last.Code == sequencer.CodeOwnerChanged)
			doubt = doubt || last.Outcome == server.OutcomeUnknown
			if !again {
				return doubtful(last, doubt)
			}
			avoid = ""
			if last.Code == server.CodeOwnerUnreachable || last.Code == codeOwnerLost {
				avoid = host
			}
			d.logger.Debug("routing again", zap.String("call", call.ID), zap.String("program", call.Program),
				zap.String("owner", host), zap.String("code", last.Code))
		}
		now = d.platform.Clock.Now()
		if !now.Before(giveUp) {
			d.logger.Warn("no owner was found", zap.String("call", call.ID), zap.String("program", call.Program),
				zap.String("shard", shard), zap.String("owner", host), zap.Int("epoch", epoch), zap.String("code", last.Code))
		}
		if !now.Before(giveUp) || !now.Before(deadline) || ctx.Err() != nil || d.loopsDone.Load() {
			return doubtful(d.unreachable(last), doubt)
		}
		time.Sleep(pause/2 + rand.N(pause))
		pause = min(2*pause, longestRoutePause)
	}
}

// doubtful turns a refusal into an unknown outcome when an earlier try of the same
// call may have run.
func doubtful(last server.Response, doubt bool) server.Response {
	if doubt && last.Outcome == server.OutcomeNotRun {
		last.Outcome, last.Code, last.Message = server.OutcomeUnknown, codeOwnerLost, "an earlier try may have run: "+last.Message
	}
	return last
}

// hint is an owner that another daemon has named.
type hint struct {
	host  string
	epoch int
}

// maxHints bounds the hints; when there are more, all are dropped, since each is
// learned again by one forwarded call.
const maxHints = 8_192

// ownerOf returns the owner of a shard: the newer one of what the ownership knows
// and what other daemons have named.
func (d *Daemon) ownerOf(shard string) (host string, epoch int, known bool) {
	host, epoch, known = d.owner.Owner(shard)
	d.mu.Lock()
	defer d.mu.Unlock()
	if h, ok := d.hints[shard]; ok && (h.epoch > epoch || !known) {
		return h.host, h.epoch, true
	}
	return host, epoch, known
}

// namedOwner returns the owner that this daemon names to another one. A host that is only
// the preferred owner is not named: the other daemon would keep asking it.
func (d *Daemon) namedOwner(shard string) (host string, epoch int) {
	host, epoch, known := d.ownerOf(shard)
	if !known {
		return "", 0
	}
	return host, epoch
}

// pickOwner returns the host to which a request about a shard is sent next. When the
// owner is not known or did not answer, another host may know a newer owner.
func (d *Daemon) pickOwner(shard, avoid string, try int) (host string, epoch int, known bool) {
	snapshot := d.snapshot.Load()
	host, epoch, known = d.ownerOf(shard)
	if !known || host == avoid || !snapshot.reachable(host) && host != d.settings.Host {
		if other := snapshot.fallback(shard, avoid, d.settings.Host, try); other != "" {
			return other, epoch, true
		}
	}
	return host, epoch, known
}

// learn takes the owner that another daemon has named.
func (d *Daemon) learn(shard, host string, epoch int) {
	if host == "" {
		return
	}
	d.owner.OwnerLearned(shard, host, epoch)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hints == nil || len(d.hints) >= maxHints {
		d.hints = map[string]hint{}
	}
	if epoch >= d.hints[shard].epoch {
		d.hints[shard] = hint{host: host, epoch: epoch}
	}
}

// unreachable is the last answer as the caller should see it.
func (d *Daemon) unreachable(last server.Response) server.Response {
	if last.Outcome == server.OutcomeNotRun {
		last.Code = server.CodeOwnerUnreachable
		last.Message = "the owner of the program cannot be reached"
		last.RetryAfterMs = d.settings.Timing.LeaseDurationMs
	}
	return last
}
