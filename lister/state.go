package lister

import (
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Settings are the intervals of a state; zero values mean the defaults.
type Settings struct {
	// Interval is the time between two reads, or two pulls.
	Interval time.Duration
	// FallbackInterval is the time between two reads of a daemon that reaches no reader.
	FallbackInterval time.Duration
	// Readers is the number of daemons of a failure domain that read the list.
	Readers int
}

// Defaults of the settings.
const (
	DefaultInterval         = time.Second
	DefaultFallbackInterval = 5 * time.Second
	// DefaultReaders is two, so that one can fail.
	DefaultReaders = 2
)

// maxVersions bounds the versions from which a peer gets changes; one that is
// further behind gets the whole list.
const maxVersions = 128

// State is the list as one daemon knows it.
type State struct {
	self     string
	settings Settings
	readers  []string
	members  []provider.Member
	// versions are the newest versions that were heard, oldest first.
	versions []version
	due      time.Time
	busy     bool
	// failed counts pulls that failed in a row; each goes to the next reader.
	failed int
}

// version is the content of the list at one time.
type version struct {
	digest  string
	members []provider.Member
}

// New returns a state that reads the list itself until it knows other daemons.
func New(self string, settings Settings, now time.Time) *State {
	if settings.Interval <= 0 {
		settings.Interval = DefaultInterval
	}
	if settings.FallbackInterval <= 0 {
		settings.FallbackInterval = max(DefaultFallbackInterval, settings.Interval)
	}
	if settings.Readers <= 0 {
		settings.Readers = DefaultReaders
	}
	return &State{self: self, settings: settings, readers: []string{self}, due: now}
}

// IsReader reports whether this daemon reads the list.
func (s *State) IsReader() bool { return slices.Contains(s.readers, s.self) }

// Update takes one message and returns what is to be done.
func (s *State) Update(now time.Time, message Message) []Command {
	switch m := message.(type) {
	case Tick:
		return s.tick(now)
	case PeersChanged:
		s.choose(m.Hosts)
	case ListRead:
		s.busy = false
		if !m.Failed {
			return s.deliver(m.Members)
		}
	case ChangesReceived:
		return s.received(now, m)
	case PullFailed:
		s.pullFailed(now)
	case ChangesRequested:
		return []Command{SendChanges{Changes: s.changes(m.Digest)}}
	}
	return nil
}

// choose picks the readers by rendezvous hashing: every daemon that knows the same
// hosts picks the same ones, and few change with one host.
func (s *State) choose(hosts []string) {
	hosts = append(slices.Clone(hosts), s.self)
	slices.SortFunc(hosts, func(a, b string) int {
		x, y := xxhash.Sum64String("reader/"+a), xxhash.Sum64String("reader/"+b)
		if x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	hosts = slices.Compact(hosts)
	s.readers = hosts[:min(s.settings.Readers, len(hosts))]
}

func (s *State) tick(now time.Time) []Command {
	if s.busy || now.Before(s.due) {
		return nil
	}
	s.busy = true
	s.due = now.Add(s.settings.Interval)
	if s.IsReader() {
		s.failed = 0
		return []Command{ReadList{}}
	}
	if s.failed >= len(s.readers) {
		// No reader answers: read once, then try the readers again.
		s.failed = 0
		s.due = now.Add(s.settings.FallbackInterval)
		return []Command{ReadList{}}
	}
	reader := s.readers[(s.offset()+s.failed)%len(s.readers)]
	return []Command{PullChanges{Host: reader, Digest: s.digest()}}
}

// offset spreads the daemons over the readers.
func (s *State) offset() int { return int(xxhash.Sum64String(s.self) % uint64(len(s.readers))) }

// pullFailed goes on to the next reader at once.
func (s *State) pullFailed(now time.Time) {
	s.busy = false
	s.failed++
	s.due = now
}

func (s *State) received(now time.Time, m ChangesReceived) []Command {
	if m.Changes.Digest == "" {
		// The reader has no list yet.
		s.pullFailed(now)
		return nil
	}
	members := apply(s.members, m.Changes)
	if digestOf(members) != m.Changes.Digest {
		// The changes do not fit what is here: ask for the whole list.
		s.versions = nil
		s.busy = false
		s.due = now
		return nil
	}
	s.busy, s.failed = false, 0
	return s.deliver(members)
}

// deliver notes a version and passes the list on. It does so for unchanged lists
// too, since the receiver measures the list's age.
func (s *State) deliver(members []provider.Member) []Command {
	members = slices.Clone(members)
	slices.SortFunc(members, compare)
	digest := digestOf(members)
	if digest != s.digest() {
		s.versions = append(s.versions, version{digest: digest, members: members})
		if len(s.versions) > maxVersions {
			s.versions = slices.Delete(s.versions, 0, len(s.versions)-maxVersions)
		}
		s.members = members
	}
	return []Command{DeliverList{Members: s.members}}
}

func (s *State) digest() string {
	if len(s.versions) == 0 {
		return ""
	}
	return s.versions[len(s.versions)-1].digest
}

// changes lists what differs from the version with the digest to the newest one.
func (s *State) changes(digest string) encoder.ListChanges {
	changes := encoder.ListChanges{Digest: s.digest()}
	if changes.Digest == "" || changes.Digest == digest {
		return changes
	}
	i := slices.IndexFunc(s.versions, func(v version) bool { return v.digest == digest })
	if i < 0 {
		changes.Whole = true
		for _, member := range s.members {
			changes.Members = append(changes.Members, toWire(member))
		}
		return changes
	}
	old := s.versions[i].members
	for _, member := range s.members {
		if at, found := slices.BinarySearchFunc(old, member, compare); !found || old[at] != member {
			changes.Members = append(changes.Members, toWire(member))
		}
	}
	for _, member := range old {
		if _, found := slices.BinarySearchFunc(s.members, member, compare); !found {
			changes.Removed = append(changes.Removed, key(member))
		}
	}
	return changes
}

// apply returns the list after the changes, in order.
func apply(members []provider.Member, changes encoder.ListChanges) []provider.Member {
	if changes.Whole {
		members = nil
	}
	gone := map[string]bool{}
	for _, name := range changes.Removed {
		gone[name] = true
	}
	for _, member := range changes.Members {
		gone[key(fromWire(member))] = true
	}
	next := slices.DeleteFunc(slices.Clone(members), func(m provider.Member) bool { return gone[key(m)] })
	for _, member := range changes.Members {
		next = append(next, fromWire(member))
	}
	slices.SortFunc(next, compare)
	return next
}

func toWire(m provider.Member) encoder.ListMember {
	return encoder.ListMember{
		Host: m.Host, Address: m.Address, FailureDomain: m.FailureDomain, Region: m.Region, Role: m.Role, Leaving: m.Leaving,
	}
}

func fromWire(m encoder.ListMember) provider.Member {
	return provider.Member{
		Host: m.Host, Address: m.Address, FailureDomain: m.FailureDomain, Region: m.Region, Role: m.Role, Leaving: m.Leaving,
	}
}

// key names an entry: one host can be listed for several services.
func key(m provider.Member) string { return m.Host + "\x00" + m.Role }

func compare(a, b provider.Member) int {
	if c := strings.Compare(a.Host, b.Host); c != 0 {
		return c
	}
	return strings.Compare(a.Role, b.Role)
}

// digestOf returns a digest of an ordered list.
func digestOf(members []provider.Member) string {
	digest := xxhash.New()
	leaving := [2]string{"0", "1"}
	for i := range members {
		m := &members[i]
		flag := leaving[0]
		if m.Leaving {
			flag = leaving[1]
		}
		for _, text := range [...]string{m.Host, m.Address, m.FailureDomain, m.Region, m.Role, flag} {
			_, _ = digest.WriteString(text)
			_, _ = digest.Write([]byte{0})
		}
	}
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], digest.Sum64())
	return hex.EncodeToString(sum[:])
}
