package soaker

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of faults.
const (
	faultKill                = "kill"
	faultKillDuringCall      = "killDuringCall"
	faultRestart             = "gracefulRestart"
	faultPause               = "pause"
	faultStoreOutage         = "storeOutage"
	faultStoreSlow           = "storeSlow"
	faultStoreLosesResponses = "storeLosesAnswers"
	faultStoreLateRequests   = "storeLateRequests"
	faultStoreCut            = "storeCut"
	faultPartition           = "partition"
	faultSilentPeers         = "silentPeers"
	faultToolHangs           = "toolHangs"
	faultToolSilent          = "toolSilent"
	faultToolDropsResponses  = "toolDropsAnswers"
	faultToolRefuses         = "toolRefuses"
	faultEngineDead          = "engineDead"
	faultEngineHangs         = "engineHangs"
	faultEngineBreaksStreams = "engineBreaksStreams"
	faultTargetLeaves        = "targetLeaves"
	faultHostListStale       = "hostListStale"
)

// faultKinds lists each kind as often as its relative frequency.
var faultKinds = []string{
	faultKill, faultKill, faultKillDuringCall, faultKillDuringCall, faultRestart, faultPause, faultPause,
	faultStoreOutage, faultStoreSlow, faultStoreLosesResponses, faultStoreLosesResponses, faultStoreLateRequests, faultStoreCut, faultStoreCut,
	faultPartition, faultPartition, faultSilentPeers, faultToolHangs, faultToolSilent, faultToolDropsResponses, faultToolRefuses,
	faultEngineDead, faultEngineHangs, faultEngineBreaksStreams, faultTargetLeaves, faultHostListStale,
}

// fault is an entry of a schedule. Start is relative to the start of the load. Subject selects a
// host or a target; Variant selects a second host, a failure domain or a form of the kind.
type fault struct {
	Start, Duration  time.Duration
	Kind             string
	Subject, Variant int
}

const (
	// meanFaultGap is the mean time between two faults.
	meanFaultGap = 700 * time.Millisecond
	// faultFreeAtStart is the time before the first fault.
	faultFreeAtStart = 1500 * time.Millisecond
)

// schedule returns the random faults of a run in order of their start. One in four starts
// together with another fault, and one in six is repeated before the system has recovered. The
// result depends only on the arguments.
func schedule(seed uint64, duration time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 0x736f616b))
	var faults []fault
	for at := faultFreeAtStart; at < duration; at += time.Duration(random.ExpFloat64() * float64(meanFaultGap)) {
		f := drawFault(random, at)
		faults = append(faults, f)
		if random.IntN(4) == 0 {
			faults = append(faults, drawFault(random, at))
		}
		if random.IntN(6) == 0 {
			f.Start += f.Duration + time.Duration(random.IntN(600))*time.Millisecond
			faults = append(faults, f)
		}
	}
	faults = slices.DeleteFunc(faults, func(f fault) bool { return f.Start+f.Duration > duration })
	slices.SortStableFunc(faults, func(a, b fault) int { return int(a.Start - b.Start) })
	return faults
}

// drawFault returns a random fault that starts at the given time. A pause outlasts the lease, and
// a leaving target stays listed for longer than leavingBound.
func drawFault(random *rand.Rand, at time.Duration) fault {
	f := fault{
		Start: at, Kind: faultKinds[random.IntN(len(faultKinds))], Subject: random.IntN(1 << 16), Variant: random.IntN(1 << 16),
		Duration: 300*time.Millisecond + time.Duration(random.IntN(1700))*time.Millisecond,
	}
	switch f.Kind {
	case faultPause:
		f.Duration = leaseDuration + leaseDuration/2 + time.Duration(random.IntN(1000))*time.Millisecond
	case faultTargetLeaves:
		f.Duration = leavingBound + 1500*time.Millisecond
	}
	return f
}
