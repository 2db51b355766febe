package dispatcher

import (
	"hash/fnv"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxSessions bounds the sessions whose last target is remembered. At 25 turns a second a daemon
// remembers those of the last minutes.
const maxSessions = 4096

// sessionKey returns what all turns of a session share: the affinity key, or the ID of the last prompt
// segment. It returns an empty string for calls without a session.
func sessionKey(r *Request) string {
	if r.AffinityKey == "" && len(r.Prompt) > 0 {
		return string(littleEndian(r.Prompt[len(r.Prompt)-1].ID))
	}
	return r.AffinityKey
}

// SessionID identifies a session in logs. It is equal on all daemons, and 0 for calls without a session.
type SessionID uint64

func sessionID(r *Request) SessionID {
	key := sessionKey(r)
	if key == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.Service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return max(1, SessionID(mix(h.Sum64())))
}

// lastTargets remembers the targets at which sessions have had their last turns.
type lastTargets struct{ targets *lru.LRU[SessionID, string] }

func newLastTargets() lastTargets {
	// NewLRU fails only for sizes below 1.
	targets, _ := lru.NewLRU[SessionID, string](maxSessions, nil)
	return lastTargets{targets: targets}
}

// get returns the ID of a session's last target, empty if it is not known.
func (l lastTargets) get(session SessionID) string {
	id, _ := l.targets.Get(session)
	return id
}

func (l lastTargets) set(session SessionID, target string) {
	if session != 0 {
		l.targets.Add(session, target)
	}
}
