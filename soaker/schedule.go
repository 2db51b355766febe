package soaker

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of faults.
const (
	faultKill          = "kill"
	faultKillDuring    = "killDuringCall"
	faultRestart       = "gracefulRestart"
	faultPause         = "pause"
	faultStoreOutage   = "storeOutage"
	faultStoreSlow     = "storeSlow"
	faultStoreLose     = "storeLosesAnswers"
	faultStoreLate     = "storeLateRequests"
	faultStoreCut      = "storeCut"
	faultPartition     = "partition"
	faultSilentPeers   = "silentPeers"
	faultToolHang      = "toolHangs"
	faultToolSilent    = "toolSilent"
	faultToolDrops     = "toolDropsAnswers"
	faultToolRefuses   = "toolRefuses"
	faultEngineDead    = "engineDead"
	faultEngineHang    = "engineHangs"
	faultEngineBreak   = "engineBreaksStreams"
	faultTargetLeaving = "targetLeaves"
	faultListStale     = "hostListStale"
)

// faultKinds has a kind once for each share of its frequency.
var faultKinds = []string{
	faultKill, faultKill, faultKillDuring, faultKillDuring, faultRestart, faultPause, faultPause,
	faultStoreOutage, faultStoreSlow, faultStoreLose, faultStoreLose, faultStoreLate, faultStoreCut, faultStoreCut,
	faultPartition, faultPartition, faultSilentPeers, faultToolHang, faultToolSilent, faultToolDrops, faultToolRefuses,
	faultEngineDead, faultEngineHang, faultEngineBreak, faultTargetLeaving, faultListStale,
}

// fault is one entry of a schedule. Subject and Other number hosts, domains or
// targets, depending on the kind.
type fault struct {
	At, For        time.Duration
	Kind           string
	Subject, Other int
}

const (
	faultGap  = 700 * time.Millisecond
	quietHead = 1500 * time.Millisecond
)

// schedule draws the faults of a run. One in four comes together with another,
// one in six comes again before the system has recovered from it.
func schedule(seed uint64, duration time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 0x736f616b))
	var faults []fault
	for at := quietHead; at < duration; at += time.Duration(random.ExpFloat64() * float64(faultGap)) {
		f := drawFault(random, at)
		faults = append(faults, f)
		if random.IntN(4) == 0 {
			faults = append(faults, drawFault(random, at))
		}
		if random.IntN(6) == 0 {
			f.At += f.For + time.Duration(random.IntN(600))*time.Millisecond
			faults = append(faults, f)
		}
	}
	faults = slices.DeleteFunc(faults, func(f fault) bool { return f.At+f.For > duration })
	slices.SortStableFunc(faults, func(a, b fault) int { return int(a.At - b.At) })
	return faults
}

func drawFault(random *rand.Rand, at time.Duration) fault {
	f := fault{
		At: at, Kind: faultKinds[random.IntN(len(faultKinds))], Subject: random.IntN(1 << 16), Other: random.IntN(1 << 16),
		For: 300*time.Millisecond + time.Duration(random.IntN(1700))*time.Millisecond,
	}
	switch f.Kind {
	case faultPause:
		f.For = leaseTime + leaseTime/2 + time.Duration(random.IntN(1000))*time.Millisecond
	case faultTargetLeaving:
		f.For = leavingBound + 1500*time.Millisecond
	}
	return f
}
