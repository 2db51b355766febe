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
func (d *Daemon) route(ctx context.Context, call server.Call, deadline time.Time, r *relay) server.Answer {
	shard := sequencer.ShardOf(call.Program, d.settings.ShardsPerDomain)
	named := call.Step > 0 || call.Key != ""
	wait := time.Duration(d.settings.Timing.LeaseMs)*time.Millisecond + ownerWaitExtra
	giveUp := d.platform.Clock.Now().Add(wait)
	last := refusal(call, server.CodeOwnerUnreachable, "the owner of the program is not known")
	pause := firstRoutePause
	for {
		now := d.platform.Clock.Now()
		call.DeadlineMs = max(deadline.Sub(now).Milliseconds(), 1)
		host, epoch, known := d.owner.Owner(shard)
		if known {
			r.restart()
			if host == d.settings.Host {
				last = d.serve(ctx, call, r.add)
			} else {
				last = d.forward(ctx, host, shard, epoch, call, r)
			}
			again := last.Outcome == server.OutcomeNotRun && reroutes[last.Code] ||
				last.Outcome == server.OutcomeUnknown && named && (last.Code == codeOwnerLost || last.Code == sequencer.CodeOwnerChanged)
			if !again {
				return last
			}
			d.logger.Debug("routing again", zap.String("call", call.ID), zap.String("program", call.Program),
				zap.String("owner", host), zap.String("code", last.Code))
		}
		now = d.platform.Clock.Now()
		if !now.Before(giveUp) || !now.Before(deadline) || ctx.Err() != nil || d.loopsDone.Load() {
			return d.unreachable(last)
		}
		time.Sleep(pause/2 + rand.N(pause))
		pause = min(2*pause, longestRoutePause)
	}
}

// unreachable is the last answer as the caller should see it.
func (d *Daemon) unreachable(last server.Answer) server.Answer {
	if last.Outcome == server.OutcomeNotRun {
		last.Code = server.CodeOwnerUnreachable
		last.Message = "the owner of the program cannot be reached"
		last.RetryAfterMs = d.settings.Timing.LeaseMs
	}
	return last
}
