package limiter

import "time"

const (
	// maxWait is how long a call waits for a permit.
	maxWait = 150 * time.Millisecond
	// permitValidity is how long a permit is valid: a call that waits longer before it is sent needs
	// another one. The calls of this time may fall into the next window; the platform's bound allows
	// 0.5 s of the rate beyond the quota of a window.
	permitValidity = 500 * time.Millisecond
	// minPermitRest is the validity that a permit needs to be given to a call.
	minPermitRest = 150 * time.Millisecond
	// prefetchTime is the time for whose calls permits are requested beyond those that wait, maxExtra
	// bounds their number. Below ten calls a second, none are.
	prefetchTime = 100 * time.Millisecond
	maxExtra     = 16
	// askWindow is the window over which the rate of a workspace is measured.
	askWindow = 2 * time.Second
	// suspectTime is how long a host that did not reply is asked last.
	suspectTime = time.Second
)

// permits are permits of one reply.
type permits struct {
	count   int
	expires time.Time
}

// askerState is what a daemon keeps of a workspace as one that asks holders.
type askerState struct {
	spare []permits
	rate  meter
}

// asker decides which holders a daemon asks and keeps the permits that calls have not used. It is not
// safe for concurrent use.
type asker struct {
	workspaces map[string]*askerState
	suspects   map[string]time.Time
}

func newAsker() *asker {
	return &asker{workspaces: map[string]*askerState{}, suspects: map[string]time.Time{}}
}

func (a *asker) state(workspace string) *askerState {
	s := a.workspaces[workspace]
	if s == nil {
		s = &askerState{}
		a.workspaces[workspace] = s
	}
	return s
}

// keep removes the state of workspaces without a quota.
func (a *asker) keep(quotas map[string]*Quota) {
	for workspace := range a.workspaces {
		if quotas[workspace] == nil {
			delete(a.workspaces, workspace)
		}
	}
}

// take records a call and takes an unused permit for it, if there is one.
func (a *asker) take(now time.Time, workspace string) (expires time.Time, ok bool) {
	s := a.state(workspace)
	s.rate.add(now, 1, askWindow)
	for len(s.spare) > 0 {
		p := &s.spare[0]
		if p.count == 0 || p.expires.Sub(now) < minPermitRest {
			s.spare = s.spare[1:]
			continue
		}
		p.count--
		return p.expires, true
	}
	return time.Time{}, false
}

// put keeps permits that no call has used.
func (a *asker) put(workspace string, count int, expires time.Time) {
	if count > 0 {
		s := a.state(workspace)
		s.spare = append(s.spare, permits{count, expires})
	}
}

// extra returns the number of permits to request beyond the one for the call that waits.
func (a *asker) extra(now time.Time, workspace string) int {
	return min(maxExtra, int(a.state(workspace).rate.add(now, 0, askWindow)*prefetchTime.Seconds()))
}

// suspect records that a host did not reply.
func (a *asker) suspect(now time.Time, host string) {
	a.suspects[host] = now.Add(suspectTime)
}

// trust records that a host has replied.
func (a *asker) trust(host string) { delete(a.suspects, host) }

// order returns the hosts in the order in which to ask them: suspects last.
func (a *asker) order(now time.Time, hosts []string) []string {
	ordered := make([]string, 0, len(hosts))
	var last []string
	for _, host := range hosts {
		if now.Before(a.suspects[host]) {
			last = append(last, host)
		} else {
			ordered = append(ordered, host)
		}
	}
	return append(ordered, last...)
}
