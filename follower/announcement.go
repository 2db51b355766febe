package follower

import "time"

// announcementRetention is how long the announcement of a target is kept after its last response,
// beyond the time for which its entry is listed. It is far above the time that a target takes to leave.
const announcementRetention = 10 * time.Minute

// announcement is the announcement of a target's process that it leaves.
type announcement struct {
	startedAt int64
	at        time.Time
}

// recordAnnouncement marks the target as leaving if its entry is of the same process.
func (s *State) recordAnnouncement(now time.Time, m TargetAnnounced) []Change {
	if a, ok := s.announced[m.ID]; ok && a.startedAt > m.StartedAt {
		return nil
	}
	s.announced[m.ID] = announcement{startedAt: m.StartedAt, at: now}
	t, known := s.targets[m.ID]
	if !known || t.Leaving || t.StartedAt != m.StartedAt {
		return nil
	}
	t.Leaving = true
	s.targets[m.ID] = t
	return []Change{{Kind: "targetAnnouncedLeaving", Target: t}}
}

func (s *State) forgetAnnouncements(now time.Time) {
	for id, a := range s.announced {
		if _, listed := s.targets[id]; !listed && now.Sub(a.at) >= announcementRetention {
			delete(s.announced, id)
		}
	}
}
