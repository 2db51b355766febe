package allocator_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/accountant"
	"github.com/dogwoodweir/dogwoodweir/allocator"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// rowBudget and turnTokens are the budget of a second row and the tokens of a turn in the simulation.
	rowBudget  = 1000
	turnTokens = 500
	// programDuration is the longest time between two turns of a program. The rules count on it.
	programDuration = 2 * time.Minute
	hostCount       = 3
)

// simulation runs daemons that compete for one partition and ask its owner for the tokens of second rows.
type simulation struct {
	options allocator.Options
	// draw returns a number below n.
	draw func(n int) int
	// events are the events of this history.
	events  []string
	now     time.Time
	nodes   []*node
	serial  int
	store   simulatedStore
	asked   map[allocator.Ticket]*question
	program simulatedProgram
	// violation describes the first violation of the bound.
	violation string
	admitted  int
	// fromMemory counts the writes that the owners granted from memory.
	fromMemory int
}

// simulatedProgram is the program that runs at present.
type simulatedProgram struct {
	name    string
	started time.Time
	used    int
}

// node is a daemon on a host.
type node struct {
	host, boot string
	allocator  *allocator.State
	accountant *accountant.State
	// alive is unset between the end of a daemon and its next start, frozen is set while it does not run,
	// cut while it does not reach the store.
	alive, frozen, cut bool
	storeCalls         []allocator.Command
	peerCalls          []accountant.Command
	turns              int
	tickets            accountant.Ticket
	// programTickets is the last ticket of an earlier program.
	programTickets accountant.Ticket
}

// question is a request to an owner. It is delivered and answered at most once.
type question struct {
	asker *node
	// run is the incarnation of the asker.
	run     *accountant.State
	program string
	write   *accountant.Write
	target  *node
	request allocator.Request
	sent    bool
	reply   *allocator.Reply
}

// simulatedStore has the row of the owner and the second rows.
type simulatedStore struct {
	version int64
	owner   provider.VersionedRow
	rows    map[string]provider.VersionedRow
	down    bool
	// delayed are transactions that may take effect later.
	delayed []allocator.Apply
}

func newSimulation(options allocator.Options, draw func(n int) int) *simulation {
	s := &simulation{
		options: options, draw: draw, now: time.Unix(1_000, 0), asked: map[allocator.Ticket]*question{},
		store: simulatedStore{rows: map[string]provider.VersionedRow{}},
	}
	s.events = slices.Clone(hastyEvents)
	if draw(3) > 0 {
		s.events = slices.Clone(plainEvents)
		for _, group := range faultEvents {
			if draw(2) == 0 {
				s.events = append(s.events, group...)
			}
		}
	}
	for i := range hostCount {
		n := &node{host: fmt.Sprint("host", i), boot: "boot"}
		s.nodes = append(s.nodes, n)
		s.startNode(n)
	}
	s.nextProgram()
	return s
}

func (s *simulation) startNode(n *node) {
	s.serial++
	run := fmt.Sprint("run", s.serial)
	*n = node{
		host: n.host, boot: n.boot, cut: n.cut, alive: true,
		allocator:  allocator.New(s.options, allocator.Identity{Host: n.host, Incarnation: run, Boot: n.boot}),
		accountant: accountant.New(accountant.DefaultOptions(), n.host, run),
	}
}

func (s *simulation) nextProgram() {
	s.serial++
	s.program = simulatedProgram{name: fmt.Sprint("program", s.serial), started: s.now}
	for _, n := range s.nodes {
		n.turns, n.programTickets = 0, n.tickets
	}
}

// apply makes a transaction take effect if its conditions hold.
func (t *simulatedStore) apply(c allocator.Apply) allocator.Applied {
	conflict := t.owner.Version != c.Version
	applied := allocator.Applied{Sequence: c.Sequence, Owner: t.owner}
	for _, change := range c.Changes {
		current := t.rows[change.Key]
		current.Key = change.Key
		conflict = conflict || current.Version != change.Version
		applied.Rows = append(applied.Rows, current)
	}
	if conflict {
		applied.Kind = provider.KindConflict
		return applied
	}
	t.version++
	value, err := json.Marshal(c.Owner)
	if err != nil {
		panic(err)
	}
	t.owner = provider.VersionedRow{Version: t.version, Value: value}
	for _, change := range c.Changes {
		t.rows[change.Key] = provider.VersionedRow{RowKey: provider.RowKey{Key: change.Key}, Version: t.version, Value: change.Value}
	}
	applied.Version = t.version
	return applied
}

func (s *simulation) updateAllocator(n *node, m allocator.Message) {
	for _, c := range n.allocator.Update(s.now, m) {
		switch c := c.(type) {
		case allocator.Reply:
			if q := s.asked[c.Ticket]; q != nil {
				q.reply = &c
			}
		case allocator.MemoryChanged:
			s.fromMemory += c.Writes
		case allocator.OwnershipChanged:
		default:
			n.storeCalls = append(n.storeCalls, c)
		}
	}
}

func (s *simulation) updateAccountant(n *node, m accountant.Message) {
	for _, c := range n.accountant.Update(s.now, m) {
		if d, ok := c.(accountant.Decision); ok {
			// Only the present program's turns are counted. A caller that has waited beyond the end of its
			// program has given up.
			inTime := d.Ticket > n.programTickets && s.now.Sub(s.program.started) < programDuration
			if d.Verdict == accountant.Admitted && inTime {
				n.turns++
				s.admitted++
				s.check()
			}
			continue
		}
		n.peerCalls = append(n.peerCalls, c)
	}
}

// check records a violation of the bound. Running turns may use all their tokens.
func (s *simulation) check() {
	tokens := s.program.used
	for _, n := range s.nodes {
		tokens += n.turns * turnTokens
	}
	if tokens > rowBudget {
		s.violation = fmt.Sprintf("%d tokens of %s were handed out, above %d", tokens, s.program.name, rowBudget)
	}
}

// plainEvents are the events of every history. Those that are listed more often are more frequent.
var plainEvents = []string{
	"time", "long time", "busy time", "busy time", "last moment", "turn", "turn", "turn", "settle", "next program", "start", "thaw",
}

// ownerFaults are those that mostly matter if they affect an owner.
var ownerFaults = []string{"cut", "freeze", "kill", "restart", "stop"}

// longTimes are those of the rules, and others that add up to those between them.
var longTimes = []time.Duration{3 * time.Second, 6 * time.Second, 12 * time.Second, 21 * time.Second, 2 * time.Minute}

// hastyEvents are those of histories in which an owner is restarted within seconds, so that its next
// process may find a recent renewal.
var hastyEvents = []string{"time", "settle", "turn", "turn", "late write", "restart", "outage", "next program"}

// faultEvents are those of which each history has some: a history with all of them hardly ever serves a
// turn. Events of one group belong together.
var faultEvents = [][]string{
	{"outage"},
	{"cut"},
	{"freeze"},
	{"kill"},
	{"restart"},
	{"stop"},
	{"late write", "late write"},
	{"tick", "store", "store", "ask", "deliver", "reply", "request", "finish", "timeout"},
}

// step plays one event on a random daemon.
func (s *simulation) step() {
	n := s.nodes[s.draw(len(s.nodes))]
	event := s.events[s.draw(len(s.events))]
	if owners := s.owners(); slices.Contains(ownerFaults, event) && len(owners) > 0 && s.draw(2) == 0 {
		n = owners[s.draw(len(owners))]
	}
	switch event {
	case "time":
		s.now = s.now.Add([]time.Duration{20 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second}[s.draw(4)])
		return
	case "long time":
		s.now = s.now.Add(longTimes[s.draw(len(longTimes))])
		return
	case "outage":
		s.toggle(&s.store.down)
		return
	case "cut":
		s.toggle(&n.cut)
		return
	case "freeze":
		n.frozen = s.draw(2) == 0
		return
	case "thaw":
		n.frozen = false
		return
	case "kill", "start":
		if event == "start" || s.draw(3) == 0 {
			s.restart(n, event)
		}
		return
	case "restart":
		s.restart(n, "kill")
		s.restart(n, "start")
		return
	case "late write":
		if d := s.store.delayed; len(d) > 0 {
			i := s.draw(len(d))
			s.store.apply(d[i])
			s.store.delayed = slices.Delete(d, i, i+1)
		}
		return
	case "busy time":
		s.passTime(s.now.Add(longTimes[s.draw(len(longTimes))]))
		return
	case "last moment":
		// A block that is too short ends before the program does.
		s.passTime(s.program.started.Add(programDuration - time.Second))
		event = "turn"
	case "next program":
		s.nextProgram()
		event = "turn"
	case "settle":
		s.settle()
		return
	}
	if n.alive && !n.frozen {
		s.stepNode(n, event)
	}
}

// passTime lets time pass until about the given time. The daemons go on meanwhile.
func (s *simulation) passTime(end time.Time) {
	const parts = 6
	for s.now.Before(end) {
		s.settle()
		s.now = s.now.Add(max(end.Sub(s.now)/parts, 100*time.Millisecond))
	}
}

// toggle begins a fault, which it does less often, or ends it.
func (s *simulation) toggle(fault *bool) { *fault = !*fault && s.draw(2) == 0 }

// restart ends a daemon, or starts one on a host without. The turns of a daemon that ends may have used
// all their tokens.
func (s *simulation) restart(n *node, event string) {
	switch {
	case event == "kill" && n.alive:
		s.program.used += n.turns * turnTokens
		n.turns, n.alive = 0, false
		if s.draw(4) == 0 {
			// The host starts again: its boot clock cannot be compared.
			s.serial++
			n.boot = fmt.Sprint("boot", s.serial)
		}
	case event == "start" && !n.alive:
		s.startNode(n)
	}
}

func (s *simulation) stepNode(n *node, event string) {
	switch event {
	case "tick":
		s.updateAllocator(n, allocator.Tick{Rank: s.draw(hostCount), UnixNow: 1})
		s.updateAccountant(n, accountant.Tick{})
	case "stop":
		if s.draw(4) == 0 {
			s.updateAllocator(n, allocator.Stopping{})
		}
	case "store":
		s.callStore(n, false)
	case "ask":
		s.ask(n)
	case "deliver":
		s.deliver(n)
	case "reply":
		s.takeReply(n, false)
	case "timeout":
		s.takeReply(n, true)
	case "request", "turn":
		if s.now.Sub(s.program.started) >= programDuration {
			s.nextProgram()
		}
		n.tickets++
		s.updateAccountant(n, accountant.ReservationRequested{
			Ticket: n.tickets, Program: s.program.name, Budget: rowBudget, Tokens: turnTokens,
		})
		if event == "turn" {
			s.settle()
		}
	case "finish":
		if n.turns > 0 {
			used := s.draw(turnTokens + 1)
			n.turns--
			s.program.used += used
			s.updateAccountant(n, accountant.TurnFinished{Program: s.program.name, Reserved: turnTokens, Used: used})
		}
	}
}

// callStore completes the oldest call of a daemon to the store.
func (s *simulation) callStore(n *node, calm bool) {
	if len(n.storeCalls) == 0 {
		return
	}
	c := n.storeCalls[0]
	n.storeCalls = n.storeCalls[1:]
	outcome := "ok"
	if !calm {
		outcome = []string{"ok", "ok", "ok", "ok", "rejected", "lost", "delayed"}[s.draw(7)]
	}
	if s.store.down || n.cut {
		outcome = []string{"rejected", "rejected", "delayed"}[s.draw(3)]
	}
	switch c := c.(type) {
	case allocator.ReadOwner:
		read := allocator.OwnerRead{Kind: provider.KindUnavailable}
		if outcome == "ok" {
			owner := s.store.owner
			read = allocator.OwnerRead{Row: &owner}
		}
		s.updateAllocator(n, read)
	case allocator.ReadRows:
		read := allocator.RowsRead{Sequence: c.Sequence, Kind: provider.KindUnavailable}
		if outcome == "ok" {
			read.Kind = provider.KindNone
			for _, r := range s.store.rows {
				read.Rows = append(read.Rows, r)
			}
		}
		s.updateAllocator(n, read)
	case allocator.Apply:
		applied := allocator.Applied{Sequence: c.Sequence, Kind: provider.KindUnavailable}
		switch outcome {
		case "ok":
			applied = s.store.apply(c)
		case "lost":
			s.store.apply(c)
			applied.Kind = provider.KindUnknown
		case "delayed":
			s.store.delayed = append(s.store.delayed, c)
			applied.Kind = provider.KindUnknown
		}
		s.updateAllocator(n, applied)
	}
}

// ask sends the oldest request of a daemon's accountant to an owner, or to any daemon if there is none.
func (s *simulation) ask(n *node) {
	if len(n.peerCalls) == 0 {
		return
	}
	c := n.peerCalls[0]
	n.peerCalls = n.peerCalls[1:]
	q := &question{asker: n, run: n.accountant}
	switch c := c.(type) {
	case accountant.Borrow:
		received := accountant.TokensReceived{Program: c.Program}
		if s.draw(2) == 0 {
			received.Silent = c.Hosts
		}
		s.updateAccountant(n, received)
		return
	case accountant.Read:
		q.program = c.Program
		q.request = allocator.Request{Key: c.Program}
	case accountant.Write:
		q.program, q.write = c.Program, &c
		q.request = allocator.Request{Key: c.Program, Version: c.Version, Value: c.Value}
	default:
		return
	}
	owners := s.owners()
	if len(owners) == 0 {
		owners = s.nodes
	}
	q.target = owners[s.draw(len(owners))]
	s.serial++
	q.request.Ticket = allocator.Ticket(s.serial)
	s.asked[q.request.Ticket] = q
}

// owners returns the daemons that take themselves for the owner.
func (s *simulation) owners() []*node {
	var owners []*node
	for _, n := range s.nodes {
		if n.alive && n.allocator.Owned() {
			owners = append(owners, n)
		}
	}
	return owners
}

// tickets returns those of the questions for which a function holds, in their order.
func (s *simulation) tickets(holds func(q *question) bool) []allocator.Ticket {
	var tickets []allocator.Ticket
	for ticket, q := range s.asked {
		if holds(q) {
			tickets = append(tickets, ticket)
		}
	}
	slices.Sort(tickets)
	return tickets
}

// deliver passes a question to a daemon, which may be another run than the one that was asked.
func (s *simulation) deliver(n *node) {
	tickets := s.tickets(func(q *question) bool { return q.target == n && !q.sent })
	if len(tickets) == 0 {
		return
	}
	q := s.asked[tickets[s.draw(len(tickets))]]
	q.sent = true
	s.updateAllocator(n, q.request)
}

// takeReply passes a reply to the daemon that asked, or reports that none came in time.
func (s *simulation) takeReply(n *node, timedOut bool) {
	tickets := s.tickets(func(q *question) bool { return q.asker == n && q.run == n.accountant && (timedOut || q.reply != nil) })
	if len(tickets) == 0 {
		return
	}
	q := s.asked[tickets[0]]
	if timedOut && !q.sent && s.draw(2) == 0 {
		// The request is delivered after its asker has given up.
		s.asked[allocator.Ticket(-q.request.Ticket)] = &question{asker: &node{}, target: q.target, request: q.request}
	}
	delete(s.asked, q.request.Ticket)
	if timedOut && q.write != nil && s.draw(2) == 0 {
		// The asker repeats the write.
		s.serial++
		again := *q
		again.request.Ticket, again.sent, again.reply = allocator.Ticket(s.serial), false, nil
		s.asked[again.request.Ticket] = &again
		return
	}
	reply := allocator.Reply{Kind: provider.KindUnknown}
	if !timedOut {
		reply = *q.reply
	}
	current := &provider.VersionedRow{Version: reply.Version, Value: reply.Value}
	switch {
	case q.write != nil:
		s.updateAccountant(n, accountant.WriteCompleted{Program: q.program, Kind: reply.Kind, Version: reply.Version, Row: current})
	case reply.Kind == provider.KindNone:
		s.updateAccountant(n, accountant.ReadCompleted{Program: q.program, Row: current})
	default:
		s.updateAccountant(n, accountant.ReadCompleted{Program: q.program, Kind: provider.KindUnavailable})
	}
}

// settle lets all daemons that run do what is due, without faults beyond those in effect.
func (s *simulation) settle() {
	for range 2 {
		for _, n := range s.nodes {
			if !n.alive || n.frozen {
				continue
			}
			s.updateAllocator(n, allocator.Tick{Rank: 0, UnixNow: 1})
			for range 3 {
				s.callStore(n, true)
				s.ask(n)
				s.deliver(n)
				s.takeReply(n, false)
			}
		}
		s.now = s.now.Add(100 * time.Millisecond)
	}
}

// TestBudgetIsNeverExceeded checks that the daemons never hand out more tokens of a second half than it
// has, in random histories of outages, daemons that are killed, frozen, cut off, restarted, replaced or
// stopped, lost responses and writes that take effect late. It guards against two daemons that both act
// as the owner, and against grants from memory that the next owner does not know.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(allocator.DefaultOptions(), func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") })
		for range rapid.IntRange(20, 250).Draw(t, "steps") {
			if s.step(); s.violation != "" {
				t.Fatal(s.violation)
			}
		}
	})
}

// Guards against a simulation that cannot find a violation: each of these rules allows one.
func TestWrongRulesAreFound(t *testing.T) {
	const maxHistories, steps = 20_000, 200
	tests := []struct {
		name  string
		wrong func(o *allocator.Options)
	}{
		{"no rule is wrong", nil},
		{"owners act for 60 s without a renewal", func(o *allocator.Options) { o.Validity = time.Minute }},
		{"no block after a lost owner", func(o *allocator.Options) { o.BlockTime = 0 }},
		{"a block that is shorter than a program", func(o *allocator.Options) { o.BlockTime = 30 * time.Second }},
		{"takeover after 5 s", func(o *allocator.Options) { o.TakeoverAfter = 5 * time.Second }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			options := allocator.DefaultOptions()
			histories := maxHistories
			if test.wrong == nil {
				histories = maxHistories / 10
			} else {
				test.wrong(&options)
			}
			found, admitted, fromMemory := 0, 0, 0
			for seed := 1; seed <= histories && found == 0; seed++ {
				random := rand.New(rand.NewPCG(uint64(seed), 0))
				s := newSimulation(options, random.IntN)
				for i := 0; i < steps && s.violation == ""; i++ {
					s.step()
				}
				admitted += s.admitted
				fromMemory += s.fromMemory
				if s.violation != "" {
					found = seed
				}
			}
			t.Logf("%d turns admitted, %d grants from memory, violation in history %d", admitted, fromMemory, found)
			if (found > 0) != (test.wrong != nil) {
				t.Errorf("violation found in history %d of %d", found, histories)
			}
			if admitted == 0 || test.wrong == nil && fromMemory == 0 {
				t.Errorf("%d turns admitted and %d grants from memory, want some", admitted, fromMemory)
			}
		})
	}
}
