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

// Settings configures a State; zero values mean the defaults.
type Settings struct {
	// Interval is the time between two reads, or two pulls.
	Interval time.Duration
	// FallbackInterval is the time between two reads of a daemon that can reach no
	// reader.
	FallbackInterval time.Duration
	// Readers is the number of daemons per failure domain that read the list.
	Readers int
}

// Defaults of the settings.
const (
	DefaultInterval         = time.Second
	DefaultFallbackInterval = 5 * time.Second
	// DefaultReaders allows for the failure of one reader.
	DefaultReaders = 2
)

// maxVersions bounds the versions that are kept to compute changes from. A peer with
// an older version gets the whole list.
const maxVersions = 128

// State is one daemon's copy of the host list.
type State struct {
	self     string
	settings Settings
	readers  []string
	members  []provider.Member
	// versions are the most recently received versions, oldest first.
	versions       []version
	nextRequestAt  time.Time
	awaitingResult bool
	// failedPulls counts consecutive failed pulls; the next pull goes to the next
	// reader.
	failedPulls int
}

// version is the content of the list at one point in time.
type version struct {
	digest  string
	members []provider.Member
}

// New returns a state that reads the list itself until PeersChanged gives it other
// daemons.
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
	return &State{self: self, settings: settings, readers: []string{self}, nextRequestAt: now}
}

// IsReader reports whether this daemon reads the list.
func (s *State) IsReader() bool { return slices.Contains(s.readers, s.self) }

// Update handles one message and returns the commands to execute.
func (s *State) Update(now time.Time, message Message) []Command {
	switch m := message.(type) {
	case Tick:
		return s.tick(now)
	case PeersChanged:
		s.selectReaders(m.Hosts)
	case ListRead:
		s.awaitingResult = false
		if !m.Failed {
			return s.deliver(m.Members)
		}
	case ChangesReceived:
		return s.changesReceived(now, m)
	case PullFailed:
		s.pullFailed(now)
	case ChangesRequested:
		return []Command{SendChanges{Changes: s.changesSince(m.Digest)}}
	}
	return nil
}

// selectReaders selects the readers by rendezvous hashing: all daemons with the same
// hosts select the same readers, and adding or removing a host changes few of them.
func (s *State) selectReaders(hosts []string) {
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

// tick starts the next read or pull when it is due and none is in progress.
func (s *State) tick(now time.Time) []Command {
	if s.awaitingResult || now.Before(s.nextRequestAt) {
		return nil
	}
	s.awaitingResult = true
	s.nextRequestAt = now.Add(s.settings.Interval)
	if s.IsReader() {
		s.failedPulls = 0
		return []Command{ReadList{}}
	}
	if s.failedPulls >= len(s.readers) {
		// No reader replied: read the list once, then try the readers again.
		s.failedPulls = 0
		s.nextRequestAt = now.Add(s.settings.FallbackInterval)
		return []Command{ReadList{}}
	}
	reader := s.readers[(s.readerOffset()+s.failedPulls)%len(s.readers)]
	return []Command{PullChanges{Host: reader, Digest: s.currentDigest()}}
}

// readerOffset returns the index of the reader that this daemon tries first. It
// spreads the daemons over the readers.
func (s *State) readerOffset() int { return int(xxhash.Sum64String(s.self) % uint64(len(s.readers))) }

// pullFailed makes the next reader due immediately.
func (s *State) pullFailed(now time.Time) {
	s.awaitingResult = false
	s.failedPulls++
	s.nextRequestAt = now
}

// changesReceived applies the changes and delivers the resulting list. If they do not
// result in the reader's version, the next pull requests the whole list.
func (s *State) changesReceived(now time.Time, m ChangesReceived) []Command {
	if m.Changes.Digest == "" {
		// The reader has no list yet.
		s.pullFailed(now)
		return nil
	}
	members := applyChanges(s.members, m.Changes)
	if digestOf(members) != m.Changes.Digest {
		// Without versions the next pull has an empty digest, so that the reader
		// sends the whole list.
		s.versions = nil
		s.awaitingResult = false
		s.nextRequestAt = now
		return nil
	}
	s.awaitingResult, s.failedPulls = false, 0
	return s.deliver(members)
}

// deliver stores the version if it is new and returns the command that delivers the
// list. Unchanged lists are delivered too, since the receiver measures the list's
// age.
func (s *State) deliver(members []provider.Member) []Command {
	members = slices.Clone(members)
	slices.SortFunc(members, compareMembers)
	digest := digestOf(members)
	if digest != s.currentDigest() {
		s.versions = append(s.versions, version{digest: digest, members: members})
		if len(s.versions) > maxVersions {
			s.versions = slices.Delete(s.versions, 0, len(s.versions)-maxVersions)
		}
		s.members = members
	}
	return []Command{DeliverList{Members: s.members}}
}

// currentDigest returns the digest of the newest version, or "" if there is none.
func (s *State) currentDigest() string {
	if len(s.versions) == 0 {
		return ""
	}
	return s.versions[len(s.versions)-1].digest
}

// changesSince returns the changes from the version with the digest to the newest one,
// or the whole list if that version is not kept.
func (s *State) changesSince(digest string) encoder.ListChanges {
	changes := encoder.ListChanges{Digest: s.currentDigest()}
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

// applyChanges returns the ordered list after the changes. It leaves members unchanged.
func applyChanges(members []provider.Member, changes encoder.ListChanges) []provider.Member {
	if changes.Whole {
		members = nil
	}
	replaced := map[string]bool{}
	for _, name := range changes.Removed {
		replaced[name] = true
	}
	for _, member := range changes.Members {
		replaced[memberKey(fromWire(member))] = true
	}
	next := slices.DeleteFunc(slices.Clone(members), func(m provider.Member) bool { return replaced[memberKey(m)] })
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

// memberKey returns the key of an entry. It includes the role because one host can be
// listed for several services.
func memberKey(m provider.Member) string { return m.Host + "\x00" + m.Role }

func compareMembers(a, b provider.Member) int {
	if c := strings.Compare(a.Host, b.Host); c != 0 {
		return c
	}
	return strings.Compare(a.Role, b.Role)
}

// digestOf returns the digest of an ordered list.
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
