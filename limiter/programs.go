package limiter

import (
	"hash/maphash"
	"math"
	"time"
)

const (
	// programMemory is how long a program is remembered after its last call.
	programMemory = 60 * time.Second
	// programIdle is the time without a call after which a program counts as ended for the estimate of the
	// number of calls. It is far above the time between two calls of a chain.
	programIdle = 10 * time.Second
	// reservedTime is the time for which the calls of programs that have begun are reserved.
	reservedTime = time.Second
	// maxLengths is the number of ended programs whose numbers of calls are kept, minLengths the number
	// from which they are used.
	maxLengths = 64
	minLengths = 8
	// maxPrograms bounds the programs of a workspace that are remembered.
	maxPrograms = 4096
	// reserveAt is the demand, as a part of the own fraction, from which tokens are reserved. Below it,
	// they suffice for all.
	reserveAt = 0.95
)

// program is a chain of calls that has begun.
type program struct {
	calls    int
	lastCall time.Time
	// counted is set once its number of calls has been kept.
	counted bool
}

// programs are the programs of a workspace that a holder has admitted calls of. A rejection in the middle of
// a program wastes its earlier calls, so that new ones are rejected first.
type programs struct {
	// byKey has hashes of the IDs of programs, which take less memory than IDs of any length.
	byKey map[uint64]*program
	// lengths are the numbers of calls of ended programs, next the index of the oldest one.
	lengths []int
	next    int
	// interval is the mean time between two calls of a program, 0 if it is not known.
	interval time.Duration
	sweptAt  time.Time
}

// programSeed makes the keys of programs differ between processes.
var programSeed = maphash.MakeSeed()

// programKey returns the key of a program.
func programKey(id string) uint64 { return maphash.String(programSeed, id) }

// known reports whether the program has begun.
func (p *programs) known(id string) bool { return id != "" && p.byKey[programKey(id)] != nil }

// record records an admitted call of a program.
func (p *programs) record(now time.Time, id string) {
	if id == "" {
		return
	}
	if p.byKey == nil {
		p.byKey = map[uint64]*program{}
	}
	p.sweep(now)
	key := programKey(id)
	known := p.byKey[key]
	if known == nil {
		if len(p.byKey) >= maxPrograms {
			return
		}
		known = &program{}
		p.byKey[key] = known
	} else if pause := now.Sub(known.lastCall); pause < programIdle {
		const weight = 0.1
		if p.interval == 0 {
			p.interval = pause
		}
		p.interval += time.Duration(weight * float64(pause-p.interval))
	}
	known.calls++
	known.lastCall, known.counted = now, false
}

// sweep keeps the numbers of calls of ended programs and forgets old ones, at most once a second.
func (p *programs) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < time.Second {
		return
	}
	p.sweptAt = now
	for key, known := range p.byKey {
		idle := now.Sub(known.lastCall)
		if idle >= programIdle && !known.counted {
			known.counted = true
			p.keepLength(known.calls)
		}
		if idle >= programMemory {
			delete(p.byKey, key)
		}
	}
}

func (p *programs) keepLength(calls int) {
	if len(p.lengths) < maxLengths {
		p.lengths = append(p.lengths, calls)
		return
	}
	p.lengths[p.next] = calls
	p.next = (p.next + 1) % maxLengths
}

// remaining returns the expected number of further calls of a program that has made some: the mean over
// the earlier programs that made more. Until enough programs have ended, as many are expected as were made: a
// daemon that has just started would reserve nothing otherwise.
func (p *programs) remaining(calls int) float64 {
	if len(p.lengths) < minLengths {
		return float64(calls)
	}
	sum, longer := 0, 0
	for _, length := range p.lengths {
		if length > calls {
			sum += length - calls
			longer++
		}
	}
	if longer == 0 {
		return 0
	}
	// Of the programs that got this far, some ended there.
	reached := 0
	for _, length := range p.lengths {
		if length >= calls {
			reached++
		}
	}
	return float64(sum) / float64(reached)
}

// reserved returns the number of calls that the programs in progress are expected to make within
// reservedTime.
func (p *programs) reserved(now time.Time) float64 {
	if p.interval <= 0 {
		return 0
	}
	perProgram := float64(reservedTime) / float64(p.interval)
	total := 0.0
	for _, known := range p.byKey {
		if now.Sub(known.lastCall) < min(programIdle, 4*p.interval) {
			total += math.Min(perProgram, p.remaining(known.calls))
		}
	}
	return total
}
