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

// Settings configures a State. Zero fields get the defaults.
type Settings struct {
	// Interval is the time between two reads or two pulls.
	Interval time.Duration
	// FallbackInterval is the time between two reads of a daemon that gets no
	// reply from any reader.
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

// maxVersions is the number of versions that are kept to compute changes. A peer with
// an older version gets the whole list.
const maxVersions = 128

// State holds the host list of one daemon and decides how it is updated.
type State struct {
	self     string
	settings Settings
	readers  []string
	members  []provider.Member
	// versions holds the last versions received, oldest first.
	versions       []version
	due            time.Time
	requestPending bool
	// failedPulls counts consecutive failed pulls. Each moves on to the next reader.
	failedPulls int
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

// Update takes one message and returns the commands to execute.
func (s *State) Update(now time.Time, message Message) []Command {
	switch m := message.(type) {
	case Tick:
		return s.tick(now)
	case PeersChanged:
		s.chooseReaders(m.Hosts)
	case ListRead:
		s.requestPending = false
		if !m.Failed {
			return s.deliver(m.Members)
		}
	case ChangesReceived:
		return s.handleChanges(now, m)
	case PullFailed:
		s.pullFailed(now)
	case ChangesRequested:
		return []Command{SendChanges{Changes: s.changesSince(m.Digest)}}
	}
	return nil
}

// chooseReaders selects the readers by rendezvous hashing. Daemons that know the same
// hosts select the same readers, and the change of one host changes at most one reader.
func (s *State) chooseReaders(hosts []string) {
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
	if s.requestPending || now.Before(s.due) {
		return nil
	}
	s.requestPending = true
	s.due = now.Add(s.settings.Interval)
	if s.IsReader() {
		s.failedPulls = 0
		return []Command{ReadList{}}
	}
	if s.failedPulls >= len(s.readers) {
		// No reader replied: read the list once, then try the readers again.
		s.failedPulls = 0
		s.due = now.Add(s.settings.FallbackInterval)
		return []Command{ReadList{}}
	}
	reader := s.readers[(s.offset()+s.failedPulls)%len(s.readers)]
	return []Command{PullChanges{Host: reader, Digest: s.digest()}}
}

// offset returns the index of the reader that this daemon tries first. It distributes
// the daemons over the readers.
func (s *State) offset() int { return int(xxhash.Sum64String(s.self) % uint64(len(s.readers))) }

// pullFailed makes the next tick pull from the next reader.
func (s *State) pullFailed(now time.Time) {
	s.requestPending = false
	s.failedPulls++
	s.due = now
}

func (s *State) handleChanges(now time.Time, m ChangesReceived) []Command {
	if m.Changes.Digest == "" {
		// The reader has no list yet.
		s.pullFailed(now)
		return nil
	}
	members := apply(s.members, m.Changes)
	if digestOf(members) != m.Changes.Digest {
		// The changes do not fit the list of this daemon, so the next pull requests
		// the whole list.
		s.versions = nil
		s.requestPending = false
		s.due = now
		return nil
	}
	s.requestPending, s.failedPulls = false, 0
	return s.deliver(members)
}

// deliver records a new version and returns the command that passes on the list. An
// unchanged list is passed on too, since the receiver tracks the list's age.
func (s *State) deliver(members []provider.Member) []Command {
	members = slices.Clone(members)
	slices.SortFunc(members, compareMembers)
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

// changesSince returns the changes from the version with the digest to the newest one,
// or the whole list if that version is not kept.
func (s *State) changesSince(digest string) encoder.ListChanges {
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
		if at, found := slices.BinarySearchFunc(old, member, compareMembers); !found || old[at] != member {
			changes.Members = append(changes.Members, toWire(member))
		}
	}
	for _, member := range old {
		if _, found := slices.BinarySearchFunc(s.members, member, compareMembers); !found {
			changes.Removed = append(changes.Removed, memberKey(member))
		}
	}
	return changes
}

// apply returns the list with the changes applied, sorted.
func apply(members []provider.Member, changes encoder.ListChanges) []provider.Member {
	if changes.Whole {
		members = nil
	}
	gone := map[string]bool{}
	for _, name := range changes.Removed {
		gone[name] = true
	}
	for _, member := range changes.Members {
		gone[memberKey(fromWire(member))] = true
	}
	next := slices.DeleteFunc(slices.Clone(members), func(m provider.Member) bool { return gone[memberKey(m)] })
	for _, member := range changes.Members {
		next = append(next, fromWire(member))
	}
	slices.SortFunc(next, compareMembers)
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

// memberKey identifies an entry by host and role, since one host can be listed for several
// services.
func memberKey(m provider.Member) string { return m.Host + "\x00" + m.Role }

func compareMembers(a, b provider.Member) int {
	if c := strings.Compare(a.Host, b.Host); c != 0 {
		return c
	}
	return strings.Compare(a.Role, b.Role)
}

// digestOf returns a digest of a sorted list.
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
