package assembler

import "time"

const (
	// minFirstWait is how long a connection on which no call has been served yet may wait for its first call
	// while connections are short: the head of a controlled caller follows its connection at once.
	minFirstWait = 250 * time.Millisecond
	// minStall is how long a head may be incomplete, or a response unread, while connections are short.
	minStall = time.Second
)

// connectionState describes a caller's connection for the decision which one is closed.
type connectionState struct {
	phase phase
	// served is set once a call of the connection was served.
	served bool
	// waited is the time for which the connection has waited for a call and its whole head.
	waited time.Duration
	// writing is the time for which the caller has not read what is being written, 0 if nothing is.
	writing time.Duration
}

// evictionRank is the order in which connections are closed while they are short.
type evictionRank int

const (
	// mustStay connections have a call that does not wait for its caller, or are too young.
	mustStay evictionRank = iota
	// idleBetweenCalls connections have served a call. The longest idle one is closed first.
	idleBetweenCalls
	// stalled connections keep the daemon waiting in the middle of a call, or for their first one.
	stalled
)

// rank returns the rank of a connection and the time by which connections of a rank are ordered.
func (s connectionState) rank() (evictionRank, time.Duration) {
	switch {
	case s.writing > minStall:
		return stalled, s.writing
	case s.phase == inCall:
		return mustStay, 0
	case !s.served && s.waited > minFirstWait, s.phase == readingHead && s.waited > minStall:
		return stalled, s.waited
	case s.served && s.phase == waitingForCall:
		return idleBetweenCalls, s.waited
	}
	return mustStay, 0
}

// closedBefore reports whether a connection is closed before another one.
func (s connectionState) closedBefore(other connectionState) bool {
	rank, wait := s.rank()
	otherRank, otherWait := other.rank()
	if rank != otherRank {
		return rank > otherRank
	}
	return wait > otherWait
}
