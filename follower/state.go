package follower

import (
	"time"
)

// Target is one process that serves requests of a service.
type Target struct {
	// ID identifies the target. A restarted process may keep it; see StartedAt.
	ID      string
	Service string
	Address string
	// Domain is the failure domain in which the target runs.
	Domain string
	Slots  int
	// Leaving targets finish their calls and get no new ones.
	Leaving bool
	// WarmAt is when a target that has just started reaches full speed.
	WarmAt time.Time
	// StartedAt is when the process started, in Unix milliseconds. A target that restarts
	// under its ID has lost everything that it held in memory.
	StartedAt int64
}

// Message is an input of State.
type Message interface{ message() }

// ConfigurationRead carries a configuration as read from the store.
type ConfigurationRead struct {
	Configuration *Configuration
	// Age is the time since the store confirmed that it was the newest one.
	Age time.Duration
}

// TargetsListed carries the complete list of targets.
type TargetsListed struct{ Targets []Target }

// TargetChanged carries one new or changed entry of the list.
type TargetChanged struct{ Target Target }

// TargetRemoved reports that an entry has been removed from the list.
type TargetRemoved struct{ ID string }

// TargetUnreadable reports that an entry of the list does not describe a target.
type TargetUnreadable struct{ ID string }

// TargetAnnounced reports that a target has announced in a response that it leaves. Its process is
// identified by the time of its start.
type TargetAnnounced struct {
	ID        string
	StartedAt int64
}

// StoreUnavailable reports that the list of targets cannot be read.
type StoreUnavailable struct{}

// StoreAvailable reports that the list of targets can be read again.
type StoreAvailable struct {
	// OnlyHere means that only this daemon could not read the list. Live targets could renew
	// their entries, so that a missing entry says that its target is gone.
	OnlyHere bool
}

// Tick removes missing targets whose grace period has ended. Send it periodically.
type Tick struct{}

func (ConfigurationRead) message() {}
func (TargetsListed) message()     {}
func (TargetChanged) message()     {}
func (TargetRemoved) message()     {}
func (TargetUnreadable) message()  {}
func (TargetAnnounced) message()   {}
func (StoreUnavailable) message()  {}
func (StoreAvailable) message()    {}
func (Tick) message()              {}

// Change describes the effect of an update, for logs and for the users of the state.
type Change struct {
	// Kind is "configuration", "staleConfiguration", "targetAdded", "targetChanged",
	// "targetRestarted", "targetAnnouncedLeaving", "targetMissing" or "targetRemoved".
	Kind    string
	Target  Target
	Version int64
	// Age is the age of a configuration when it was read.
	Age time.Duration
	// KeptFor is how long a missing target stays in use if it does not register again.
	KeptFor time.Duration
}

// Options configure a State.
type Options struct {
	// GracePeriod is how long a target that disappeared from the list during an outage of the
	// store stays in use after the outage.
	GracePeriod time.Duration
}

// State holds the configuration in force and the targets in use. It is not safe for
// concurrent use.
type State struct {
	options       Options
	configuration *Configuration
	targets       map[string]Target
	// announced holds the processes that have announced that they leave, whatever the list says.
	announced map[string]announcement
	// missing holds the time at which each missing target is removed.
	missing          map[string]time.Time
	targetsKnown     bool
	storeUnavailable bool
	// graceEnd is the end of the grace period after the last outage of the store.
	graceEnd time.Time
}

// New returns a State without a configuration and targets.
func New(options Options) *State {
	return &State{
		options: options, targets: map[string]Target{}, missing: map[string]time.Time{}, announced: map[string]announcement{},
	}
}

// Configuration returns the configuration in force, nil when none is known.
func (s *State) Configuration() *Configuration { return s.configuration }

// TargetsKnown reports whether the list of targets has been read at least once.
func (s *State) TargetsKnown() bool { return s.targetsKnown }

// Targets returns the targets by their IDs. Callers must not modify the map.
func (s *State) Targets() map[string]Target { return s.targets }

// Update applies a message and returns what has changed.
func (s *State) Update(now time.Time, message Message) []Change {
	switch m := message.(type) {
	case ConfigurationRead:
		return s.setConfiguration(m.Configuration, m.Age)
	case TargetsListed:
		return s.replaceTargets(now, m.Targets)
	case TargetChanged:
		return s.putTarget(nil, m.Target)
	case TargetRemoved:
		return s.removeTarget(now, nil, m.ID)
	case TargetUnreadable:
		// The entry has not expired, so there is nothing to wait for.
		if _, known := s.targets[m.ID]; known {
			return s.deleteTarget(nil, m.ID)
		}
	case TargetAnnounced:
		return s.recordAnnouncement(now, m)
	case StoreUnavailable:
		s.storeUnavailable = true
	case StoreAvailable:
		if s.storeUnavailable {
			s.storeUnavailable = false
			if !m.OnlyHere {
				s.graceEnd = now.Add(s.options.GracePeriod)
			}
		}
	case Tick:
		s.forgetAnnouncements(now)
		return s.expireMissing(now)
	}
	return nil
}

func (s *State) setConfiguration(c *Configuration, age time.Duration) []Change {
	if s.configuration != nil && c.Version <= s.configuration.Version {
		if c.Version == s.configuration.Version {
			return nil
		}
		return []Change{{Kind: "staleConfiguration", Version: c.Version}}
	}
	s.configuration = c
	return []Change{{Kind: "configuration", Version: c.Version, Age: age}}
}

func (s *State) replaceTargets(now time.Time, targets []Target) []Change {
	var changes []Change
	s.targetsKnown = true
	present := make(map[string]bool, len(targets))
	for _, t := range targets {
		present[t.ID] = true
		changes = s.putTarget(changes, t)
	}
	for id := range s.targets {
		if !present[id] {
			changes = s.removeTarget(now, changes, id)
		}
	}
	return changes
}

func (s *State) putTarget(changes []Change, t Target) []Change {
	old, known := s.targets[t.ID]
	delete(s.missing, t.ID)
	if a, announced := s.announced[t.ID]; announced {
		// An entry of an earlier process may be read late.
		t.Leaving = t.Leaving || t.StartedAt <= a.startedAt
		if t.StartedAt > a.startedAt {
			delete(s.announced, t.ID)
		}
	}
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

// removeTarget deletes a target, or marks it as missing during an outage of the store and
// the grace period: its entry may have expired because it could not be renewed.
func (s *State) removeTarget(now time.Time, changes []Change, id string) []Change {
	t, known := s.targets[id]
	if !known {
		return changes
	}
	if !t.Leaving && (s.storeUnavailable || now.Before(s.graceEnd)) {
		if _, marked := s.missing[id]; marked {
			return changes
		}
		end := s.graceEnd
		if s.storeUnavailable {
			end = now.Add(s.options.GracePeriod)
		}
		s.missing[id] = end
		return append(changes, Change{Kind: "targetMissing", Target: t, KeptFor: end.Sub(now)})
	}
	return s.deleteTarget(changes, id)
}

func (s *State) deleteTarget(changes []Change, id string) []Change {
	t := s.targets[id]
	delete(s.targets, id)
	delete(s.missing, id)
	return append(changes, Change{Kind: "targetRemoved", Target: t})
}

func (s *State) expireMissing(now time.Time) []Change {
	if s.storeUnavailable {
		return nil
	}
	var changes []Change
	for id, end := range s.missing {
		if end = later(end, s.graceEnd); !now.Before(end) {
			changes = s.deleteTarget(changes, id)
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
