package controller

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/detector"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/scheduler"
	"github.com/dogwoodweir/dogwoodweir/sequencer"
	"github.com/dogwoodweir/dogwoodweir/server"
)

// reportsPerSec bounds the load reports and cache events that a daemon polls, so
// that polling stays within the traffic allowed for control.
const reportsPerSec = 4

// memoryRequest tells an owner for which of its programs a target holds memory.
type memoryRequest struct {
	Target   string   `json:"target"`
	Programs []string `json:"programs"`
	// Hops counts the hosts that have passed the request on.
	Hops int `json:"hops,omitempty"`
}

// maxMemoryHops bounds how often a memory request is passed on: from the auditor
// to the preferred owner, which knows the owner, with one to spare.
const maxMemoryHops = 3

// auditor polls targets: load reports and cache events in turn, and the programs
// for which memory is held at every audit interval.
type auditor struct {
	d        *Daemon
	next     int
	pollDue  time.Time
	auditDue time.Time
	busy     map[string]bool
	events   map[string]int64
}

// eventsRead says up to which cache event a target has been read.
type eventsRead struct {
	target string
	after  int64
}

func (eventsRead) isControlMessage() {}

func newAuditor(d *Daemon) *auditor {
	return &auditor{d: d, busy: map[string]bool{}, events: map[string]int64{}}
}

// tick starts the polls and audits that are due. Targets that this daemon uses or
// issues orders to are polled.
func (a *auditor) tick(now time.Time, view detector.View, kind func(string) string, issues func(string) bool) {
	if now.Before(a.pollDue) {
		return
	}
	a.pollDue = now.Add(time.Second / reportsPerSec)
	var used []detector.TargetView
	audit := !now.Before(a.auditDue)
	if audit {
		a.auditDue = now.Add(time.Duration(a.d.settings.Timing.AuditIntervalMs) * time.Millisecond)
	}
	for _, t := range view.Targets {
		if kind(t.Name) != server.KindModel {
			continue
		}
		if t.InSubset || issues(t.Name) {
			used = append(used, t)
		}
		if audit && t.ProbeAssigned {
			a.audit(t)
		}
	}
	if len(used) > 0 {
		a.next++
		a.poll(used[a.next%len(used)])
	}
}

// poll reads the load and the cache events of one target.
func (a *auditor) poll(t detector.TargetView) {
	if a.busy[t.Name] {
		return
	}
	a.busy[t.Name] = true
	d, after := a.d, a.events[t.Name]
	d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		engine := d.platform.Engine(t.Address)
		if report, err := engine.Report(ctx); err == nil {
			d.reported(t.Name, report)
		}
		events, err := engine.CacheEvents(ctx, after)
		if err == nil {
			for _, event := range events {
				event.Target = t.Name
				after = max(after, event.Sequence)
				d.programs.Post(schedulerMessage{scheduler.CacheChanged{Event: event}})
			}
		}
		d.control.Post(eventsRead{target: t.Name, after: after})
	})
}

// audit asks a target for which programs it holds memory and tells their owners,
// who release what has no live program.
func (a *auditor) audit(t detector.TargetView) {
	d := a.d
	d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, objectTimeout)
		defer cancel()
		held, err := d.platform.Engine(t.Address).HeldPrograms(ctx)
		if err != nil {
			d.logger.Debug("audit of held memory failed", zap.String("target", t.Name), zap.Error(err))
			return
		}
		d.memoryHeld(ctx, memoryRequest{Target: t.Name, Programs: held})
	})
}

// memoryHeld tells the owners of programs that a target holds memory for them. A
// host that does not own a program passes the request on to whom it takes to be the
// owner.
func (d *Daemon) memoryHeld(ctx context.Context, r memoryRequest) {
	others := map[string][]string{}
	for _, program := range r.Programs {
		host, _, known := d.ownerOf(sequencer.ShardOf(program, d.settings.ShardsPerDomain))
		switch {
		case !known:
		case host == d.settings.Host:
			d.programs.Post(sequencerMessage{sequencer.MemoryReported{Program: program, Target: r.Target}})
		default:
			others[host] = append(others[host], program)
		}
	}
	if r.Hops >= maxMemoryHops {
		return
	}
	for host, programs := range others {
		if peer, ok := d.snapshot.Load().peer(host); ok {
			// A lost request is made up for by the next audit.
			_, _ = messenger.Call[struct{}](ctx, d.messenger, peer, methodMemory,
				memoryRequest{Target: r.Target, Programs: programs, Hops: r.Hops + 1})
		}
	}
}

func (d *Daemon) handleMemory(params json.RawMessage) (any, error) {
	var r memoryRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, &Error{operation: "daemon.memory", kind: KindMethod, cause: err}
	}
	d.effect(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, objectTimeout)
		defer cancel()
		d.memoryHeld(ctx, r)
	})
	return struct{}{}, nil
}

// reported passes a load report to the scheduler and the loader, and to the detector
// what it says about a shutdown.
func (d *Daemon) reported(target string, report provider.LoadReport) {
	report.Target = target
	d.noteFencing(target, report.FencingNumber)
	d.control.Post(targetReported{report})
	if report.Leaving {
		d.control.Post(detectorMessage{detector.TargetLeaving{Target: target}})
	}
	d.programs.Post(schedulerMessage{scheduler.ReportReceived{Report: report}})
}

// observeTarget tells the detector what a call says about a target. A target that
// declines a call is alive.
func (d *Daemon) observeTarget(target string, err error) {
	kind := provider.KindOf(err)
	ok := kind == provider.KindNone || kind == provider.KindRefused
	d.control.Post(detectorMessage{detector.TargetCallFinished{Target: target, OK: ok}})
}
