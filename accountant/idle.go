package accountant

import (
	"slices"
	"time"
)

// memoryOf returns the memory of a program with a name.
func memoryOf(name string) int {
	const programBytes = 512
	return len(name) + programBytes
}

// Bytes returns the memory that programs take, with their names.
func (s *State) Bytes() int { return s.bytes }

// add adds a program. It returns nil if there is no memory.
func (s *State) add(name string) *program {
	if s.options.MaxBytes > 0 && s.bytes+memoryOf(name) > s.options.MaxBytes {
		return nil
	}
	return s.insert(name)
}

// insert adds a program whatever memory there is.
func (s *State) insert(name string) *program {
	p := &program{lastUsedAt: s.now, renewAt: s.now.Add(s.options.Retention / 2)}
	s.programs[name] = p
	s.bytes += memoryOf(name)
	return p
}

// remove removes a program without tokens that is not busy. Its unused tokens are returned first, and it remains
// until they are.
func (s *State) remove(name string, p *program) {
	s.returnUnused(name, p)
	if !p.isIdle() || p.hasToWrite() || p.pending != nil {
		return
	}
	delete(s.programs, name)
	s.bytes -= memoryOf(name)
}

// returnUnused writes the unused tokens of a program without running turns back to its row, and lists the borrowers of
// tokens there. The tokens are deducted before the write, and added again if it has no effect. A daemon that has only
// borrowed tokens does not know the row: its write conflicts and returns it. A failed return is tried again at a later
// Tick or Stopping.
func (s *State) returnUnused(name string, p *program) {
	if !p.isIdle() || s.now.Before(p.nextReturnAt) {
		return
	}
	if p.pending != nil {
		s.readRow(name, p)
		return
	}
	if !p.hasToWrite() {
		return
	}
	tokens := max(0, p.unused)
	p.unused -= tokens
	s.writeGrant(name, p, -tokens)
}

// hasToWrite reports whether a program has unused tokens, or has lent tokens to daemons that the row does not list.
func (p *program) hasToWrite() bool { return p.unused > 0 || len(p.lent) > 0 }

// UnreturnedPrograms returns the number of programs without running turns that have tokens to be returned, or whose
// return or loan is not settled.
func (s *State) UnreturnedPrograms() int {
	count := 0
	for _, p := range s.programs {
		if p.busy() || p.pending != nil || len(p.loans) > 0 || p.isIdle() && p.hasToWrite() {
			count++
		}
	}
	return count
}

// isIdle reports whether nothing of a program is in progress.
func (p *program) isIdle() bool {
	return p.reserved == 0 && !p.busy() && len(p.waiters) == 0 && len(p.loans) == 0
}

// isEmpty reports whether no daemon is known to have had tokens of a program: all its turns were refused. What is
// known of it is not used after MaxStaleness.
func (p *program) isEmpty() bool {
	return !p.hadTokens && !p.hasGrant && p.unused == 0 && p.pending == nil
}

// tick removes idle programs from memory, and near the bound those that have been idle the longest.
func (s *State) tick() {
	for name, p := range s.programs {
		timeout := s.options.IdleTimeout
		if p.isEmpty() {
			timeout = s.options.MaxStaleness
		}
		if p.isIdle() && s.now.Sub(p.lastUsedAt) >= timeout {
			s.remove(name, p)
		}
		s.renewRow(name, p)
	}
	if s.options.MaxBytes > 0 && s.bytes > s.options.MaxBytes*3/4 {
		s.removeOldest(s.options.MaxBytes / 2)
	}
}

// removeOldest removes idle programs until the others take at most the given memory.
func (s *State) removeOldest(bytes int) {
	type idleProgram struct {
		name   string
		usedAt time.Time
	}
	var idle []idleProgram
	for name, p := range s.programs {
		if p.isIdle() {
			idle = append(idle, idleProgram{name, p.lastUsedAt})
		}
	}
	slices.SortFunc(idle, func(a, b idleProgram) int { return a.usedAt.Compare(b.usedAt) })
	for _, p := range idle {
		if s.bytes <= bytes {
			return
		}
		s.remove(p.name, s.programs[p.name])
	}
}
