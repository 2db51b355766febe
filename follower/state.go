package follower

import (
	"time"
)

// Target is one process that serves requests of a service.
type Target struct {
	// ID names one run of the process.
	ID      string
	Service string
	Address string
	// Domain is the failure domain in which the target runs.
	Domain string
	Slots  int
	// Leaving targets finish what they have and get nothing new.
	Leaving bool
	// WarmAt is when a target that has just started reaches its full speed.
	WarmAt time.Time
	// StartedAt is when the process started. A target that starts again under its ID has
	// lost what it held.
	StartedAt int64
}

// Message is an input of State.
type Message interface{ message() }

// ConfigurationRead brings a configuration as the store has it.
type ConfigurationRead struct{ Configuration *Configuration }

// TargetsListed brings the whole list of targets.
type TargetsListed struct{ Targets []Target }

// TargetChanged brings one changed entry of the list.
type TargetChanged struct{ Target Target }

// TargetRemoved says that an entry has left the list.
type TargetRemoved struct{ ID string }

// StoreUnavailable says that the list of targets cannot be read.
type StoreUnavailable struct{}

// StoreAvailable says that the list of targets can be read again.
type StoreAvailable struct{}

// Tick lets time pass.
type Tick struct{}

func (ConfigurationRead) message() {}
func (TargetsListed) message()     {}
func (TargetChanged) message()     {}
func (TargetRemoved) message()     {}
func (StoreUnavailable) message()  {}
func (StoreAvailable) message()    {}
func (Tick) message()              {}

// Change tells what an update did, for logs and for the users of the state.
type Change struct {
	// Kind is "configuration", "staleConfiguration", "targetAdded", "targetChanged",
	// "targetRestarted", "targetMissing" or "targetRemoved".
	Kind    string
	Target  Target
	Version int64
}

// Options configure a State.
type Options struct {
	// GracePeriod is how long a target that vanished while the store was away is kept
	// after the store's return.
	GracePeriod time.Duration
}

// State is what is in force. It is not safe for concurrent use.
type State struct {
	options       Options
	configuration *Configuration
	targets       map[string]Target
	// missing has the time at which a vanished target is given up.
	missing map[string]time.Time
	listed  bool
	lost    bool
	// graceEnd is when vanished entries count as gone again.
	graceEnd time.Time
}

// New returns a state with nothing in force.
func New(options Options) *State {
	return &State{options: options, targets: map[string]Target{}, missing: map[string]time.Time{}}
}

// Configuration returns the configuration in force, nil when none is known.
func (s *State) Configuration() *Configuration { return s.configuration }

// TargetsKnown reports whether the list of targets has been read once.
func (s *State) TargetsKnown() bool { return s.listed }

// Targets returns the targets by their IDs. Do not change the map.
func (s *State) Targets() map[string]Target { return s.targets }

// Update applies a message.
func (s *State) Update(now time.Time, message Message) []Change {
	switch m := message.(type) {
	case ConfigurationRead:
		return s.configure(m.Configuration)
	case TargetsListed:
		return s.list(now, m.Targets)
	case TargetChanged:
		return s.put(nil, m.Target)
	case TargetRemoved:
		return s.remove(now, nil, m.ID)
	case StoreUnavailable:
		s.lost = true
	case StoreAvailable:
		if s.lost {
			s.lost = false
			s.graceEnd = now.Add(s.options.GracePeriod)
		}
	case Tick:
		return s.expire(now)
	}
	return nil
}

func (s *State) configure(c *Configuration) []Change {
	if s.configuration != nil && c.Version <= s.configuration.Version {
		if c.Version == s.configuration.Version {
			return nil
		}
		return []Change{{Kind: "staleConfiguration", Version: c.Version}}
	}
	s.configuration = c
	return []Change{{Kind: "configuration", Version: c.Version}}
}

func (s *State) list(now time.Time, targets []Target) []Change {
	var changes []Change
	s.listed = true
	present := make(map[string]bool, len(targets))
	for _, t := range targets {
		present[t.ID] = true
		changes = s.put(changes, t)
	}
	for id := range s.targets {
		if !present[id] {
			changes = s.remove(now, changes, id)
		}
	}
	return changes
}

func (s *State) put(changes []Change, t Target) []Change {
	old, known := s.targets[t.ID]
	delete(s.missing, t.ID)
	s.targets[t.ID] = t
	switch {
	case !known:
		return append(changes, Change{Kind: "targetAdded", Target: t})
	case old.StartedAt != t.StartedAt:
		return append(changes, Change{Kind: "targetRestarted", Target: t})
	case old != t:
		return append(changes, Change{Kind: "targetChanged", Target: t})
	}
	return changes
}

// remove drops a target, or marks it as missing while entries that lapsed during an
// outage of the store may still come back.
func (s *State) remove(now time.Time, changes []Change, id string) []Change {
	t, known := s.targets[id]
	if !known {
		return changes
	}
	if !t.Leaving && (s.lost || now.Before(s.graceEnd)) {
		if _, waiting := s.missing[id]; waiting {
			return changes
		}
		end := s.graceEnd
		if s.lost {
			end = now.Add(s.options.GracePeriod)
		}
		s.missing[id] = end
		return append(changes, Change{Kind: "targetMissing", Target: t})
	}
	return s.drop(changes, id)
}

func (s *State) drop(changes []Change, id string) []Change {
	t := s.targets[id]
	delete(s.targets, id)
	delete(s.missing, id)
	return append(changes, Change{Kind: "targetRemoved", Target: t})
}

func (s *State) expire(now time.Time) []Change {
	if s.lost {
		return nil
	}
	var changes []Change
	for id, end := range s.missing {
		if end = later(end, s.graceEnd); !now.Before(end) {
			changes = s.drop(changes, id)
		}
	}
	return changes
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
