package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/dogwoodweir/dogwoodweir/detector"
	"github.com/dogwoodweir/dogwoodweir/distributor"
	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/provider"
	"github.com/dogwoodweir/dogwoodweir/publisher"
)

const (
	tickInterval   = 100 * time.Millisecond
	requestTimeout = time.Second
	inboxSize      = 1_024
)

// input is a message to a member's loop; reply, when set, receives the reply to it.
type input struct {
	message any
	reply   chan any
}

// member runs the control logic of one daemon: its detector and its distributor.
type member struct {
	self         provider.Member
	detector     *detector.State
	config       *distributor.State
	messenger    *messenger.Messenger
	store        *publisher.Store
	list         provider.HostLister
	listInterval time.Duration
	inbox        chan input
	done         chan struct{}
	tasks        *conc.WaitGroup
	ctx          context.Context

	addresses map[string]string
	peersKey  string
	nextList  time.Time
	view      atomic.Pointer[detector.View]
	version   atomic.Int64
	busy      atomic.Int64
	probes    atomic.Int64
}

func newMember(ctx context.Context, f *Fleet, place provider.Member, index int) *member {
	now := time.Now()
	m := &member{
		self: place, store: publisher.New(f.tables.ForCaller(place.Host), wallClock{}), list: f.list, listInterval: f.options.ListInterval,
		inbox: make(chan input, inboxSize), done: make(chan struct{}), tasks: conc.NewWaitGroup(), ctx: ctx,
		addresses: map[string]string{},
		config:    distributor.New(place.Host, distributor.Settings{}, uint64(index), now),
		nextList:  now,
	}
	m.detector = detector.New(detector.Self{
		Host: place.Host, Address: place.Address, FailureDomain: place.FailureDomain, Region: place.Region,
		Incarnation: fmt.Sprintf("%08x", index+1), Generation: int(now.UnixMilli()),
	}, detector.Settings{}, uint64(index), now)
	m.view.Store(&detector.View{})
	m.messenger = messenger.New(messenger.Settings{Host: place.Host, Dial: f.network.Dialer(place.Address)}, m, zap.NewNop())
	return m
}

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// run is the control loop; it returns when the fleet is closed.
func (m *member) run() {
	defer close(m.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var in input
		select {
		case <-m.ctx.Done():
			return
		case in = <-m.inbox:
		case <-ticker.C:
			in.message = detector.Tick{}
		}
		started := time.Now()
		m.handle(started, in)
		m.busy.Add(int64(time.Since(started)))
	}
}

func (m *member) handle(now time.Time, in input) {
	switch message := in.message.(type) {
	case detector.Tick:
		m.runDetectorCommands(now, in, m.detector.Update(now, message))
		m.runDistributorCommands(now, in, m.config.Update(now, distributor.Tick{}))
		if !now.Before(m.nextList) {
			m.nextList = now.Add(m.listInterval)
			m.spawn(func() {
				if members, err := m.list.List(m.ctx); err == nil {
					m.post(detector.MemberListReceived{Members: members})
				}
			})
		}
	case detector.HeartbeatReceived:
		m.runDetectorCommands(now, in, m.detector.Update(now, message))
		m.runDistributorCommands(now, in, m.config.Update(now, distributor.PeerVersionReceived{
			Host: message.Heartbeat.Host, Version: message.Heartbeat.ConfigVersion,
		}))
	case detector.Message:
		m.runDetectorCommands(now, in, m.detector.Update(now, message))
	case distributor.Message:
		m.runDistributorCommands(now, in, m.config.Update(now, message))
	}
}

func (m *member) spawn(task func()) { m.tasks.Go(task) }

func (m *member) post(message any) {
	select {
	case m.inbox <- input{message: message}:
	case <-m.ctx.Done():
	}
}

func (m *member) peer(host string) messenger.Peer {
	return messenger.Peer{Host: host, Address: m.addresses[host]}
}

// runDetectorCommands carries out the commands of the detector.
func (m *member) runDetectorCommands(now time.Time, in input, commands []detector.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case detector.SendHeartbeat:
			m.spawn(func() {
				ctx, cancel := context.WithTimeout(m.ctx, requestTimeout)
				defer cancel()
				peer := messenger.Peer{Host: c.To, Address: c.Address}
				reply, err := messenger.Call[encoder.Heartbeat](ctx, m.messenger, peer, messenger.MethodHeartbeat, c.Heartbeat)
				if err != nil {
					m.post(detector.HeartbeatMissed{Host: c.To})
					return
				}
				m.post(detector.HeartbeatReceived{Heartbeat: reply, Reply: true})
			})
		case detector.ReplyToHeartbeat:
			in.reply <- c.Heartbeat
		case detector.ProbeHost:
			m.spawn(func() {
				ctx, cancel := context.WithTimeout(m.ctx, requestTimeout)
				defer cancel()
				_, err := m.messenger.Probe(ctx, messenger.Peer{Host: c.Host, Address: c.Address})
				m.post(detector.ProbeFinished{Host: c.Host, OK: err == nil})
			})
		case detector.ProbeTarget:
			m.probes.Add(1)
			m.spawn(func() { m.post(detector.ProbeFinished{Target: c.Target, OK: true}) })
		case detector.PublishView:
			m.view.Store(&c.View)
			m.updatePeers(now, in, c.View)
		}
	}
}

func (m *member) updatePeers(now time.Time, in input, view detector.View) {
	var hosts []string
	for _, h := range view.Hosts {
		m.addresses[h.Name] = h.Address
		if h.State == detector.Ready || h.State == detector.Joining || h.State == detector.Leaving {
			hosts = append(hosts, h.Name)
		}
	}
	if key := fmt.Sprint(hosts); key != m.peersKey {
		m.peersKey = key
		m.runDistributorCommands(now, in, m.config.Update(now, distributor.PeersChanged{Hosts: hosts}))
	}
}

// runDistributorCommands carries out the commands of the distributor.
func (m *member) runDistributorCommands(now time.Time, in input, commands []distributor.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case distributor.PollStore:
			m.spawn(func() {
				ctx, cancel := context.WithTimeout(m.ctx, requestTimeout)
				defer cancel()
				version, sections, whole, err := m.store.Delta(ctx, c.From)
				m.post(distributor.PollFinished{From: c.From, Version: version, Sections: sections, Full: whole, Failed: err != nil})
			})
		case distributor.PullDelta:
			peer := m.peer(c.Host)
			m.spawn(func() {
				ctx, cancel := context.WithTimeout(m.ctx, requestTimeout)
				defer cancel()
				request := encoder.DeltaRequest{From: c.From, Host: m.self.Host}
				delta, err := messenger.Call[encoder.Delta](ctx, m.messenger, peer, messenger.MethodConfigDelta, request)
				if err != nil {
					m.post(distributor.PullFailed{Host: c.Host})
					return
				}
				m.post(distributor.DeltaReceived{Host: c.Host, Delta: delta})
			})
		case distributor.QueryVersion:
			peer := m.peer(c.Host)
			m.spawn(func() {
				ctx, cancel := context.WithTimeout(m.ctx, requestTimeout)
				defer cancel()
				if result, err := m.messenger.Probe(ctx, peer); err == nil {
					m.post(distributor.PeerVersionReceived{Host: c.Host, Version: result.ConfigVersion})
				}
			})
		case distributor.SendDelta:
			in.reply <- c.Delta
		case distributor.ApplyDocument:
			m.version.Store(int64(c.Document.Version))
			m.runDetectorCommands(now, in, m.detector.Update(now, detector.DrainsChanged{Names: publisher.Drained(c.Document)}))
		case distributor.NotifyPeers:
			m.runDetectorCommands(now, in, m.detector.Update(now, detector.ConfigChanged{Version: c.Version}))
		}
	}
}

// Handle serves the requests of other members.
func (m *member) Handle(ctx context.Context, from, method string, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodHeartbeat:
		var beat encoder.Heartbeat
		if err := json.Unmarshal(params, &beat); err != nil {
			return nil, err
		}
		if beat.Host != from {
			return nil, fmt.Errorf("heartbeat of %q from %q", beat.Host, from)
		}
		return m.request(ctx, detector.HeartbeatReceived{Heartbeat: beat})
	case messenger.MethodConfigDelta:
		var request encoder.DeltaRequest
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, err
		}
		return m.request(ctx, distributor.DeltaRequested{From: request.From, ReplyTo: from})
	case messenger.MethodProbe:
		return encoder.ProbeResult{Host: m.self.Host, State: detector.Ready, ConfigVersion: int(m.version.Load())}, nil
	}
	return nil, fmt.Errorf("method %q is not served", method)
}

// HandleCall rejects every call, since members serve none.
func (m *member) HandleCall(context.Context, string, encoder.ForwardedCall, messenger.Emit) (encoder.CallResult, error) {
	return encoder.CallResult{Outcome: "notRun"}, nil
}

// request passes a message to the loop and waits for the reply. It returns an error when
// ctx or the member ends first.
func (m *member) request(ctx context.Context, message any) (any, error) {
	in := input{message: message, reply: make(chan any, 1)}
	select {
	case m.inbox <- in:
	case <-m.ctx.Done():
		return nil, m.ctx.Err()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case reply := <-in.reply:
		return reply, nil
	case <-m.ctx.Done():
		return nil, m.ctx.Err()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
