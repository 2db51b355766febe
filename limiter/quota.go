package limiter

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

const (
	// QuotaTable holds the fractions, by group of workspaces.
	QuotaTable = "quotas"
	// HolderTable holds one row for each daemon that may hold fractions, by host.
	HolderTable = "quotaHolders"
	// groupCount is the number of rows of QuotaTable. All daemons must use the same value. The workspaces
	// of a group have the same holders, so that one transaction moves the fractions of all of them, and
	// only one daemon of a cell writes the row. Each row has a partition of its own: when all daemons start
	// at once, a partition with several rows takes too long for the first calls.
	groupCount = 64
	// holderPartitions is the number of partitions of HolderTable, for the same reason.
	holderPartitions = 8
	// wholeQuota is the sum of all fractions, which are counted in millionths.
	wholeQuota = 1_000_000
	// extraDepth is the number of requests that all buckets of a workspace together hold beyond its
	// burst. The bound of the platform allows 20 requests beyond the quota; the rest of them is for
	// restartTokens and for calls that are under way.
	extraDepth = 12
	// overage is the share of a quota that the platform allows beyond it in boundWindow. Callers may send
	// what a window allows at any moment of it, so that buckets hold this share as well.
	overage     = 0.1
	boundWindow = 5 * time.Second
	// minHolderDepth is the smallest mean depth of a bucket with one holder in each failure domain.
	// Below it, calls at random times are rejected too often, and each region has one holder.
	minHolderDepth = 6
)

// Quota limits the calls of a workspace.
type Quota struct {
	Workspace     string
	RatePerSecond float64
	Burst         float64
}

// depth returns the depth of all buckets of the workspace together.
func (q *Quota) depth() float64 {
	return q.Burst + overage*(q.RatePerSecond*boundWindow.Seconds()+q.Burst) + extraDepth
}

// minParts returns the smallest fraction that holds one request.
func (q *Quota) minParts() int { return min(wholeQuota, int(wholeQuota/q.depth())+1) }

// perDomain reports whether each failure domain has a holder. Otherwise each region has one.
func (q *Quota) perDomain(domains int) bool { return q.depth() >= float64(minHolderDepth*domains) }

// group is the number of a row of QuotaTable.
type group int

func groupOf(workspace string) group {
	h := fnv.New32a()
	_, _ = h.Write([]byte(workspace))
	return group(h.Sum32() % groupCount)
}

// name returns the group's key in the store and in the order of hosts.
func (g group) name() string { return "g" + strconv.Itoa(int(g)) }

func (g group) key() provider.RowKey {
	return provider.RowKey{Table: QuotaTable, Partition: g.name(), Key: g.name()}
}

// parseGroup returns the group with the given key.
func parseGroup(key string) (group, bool) {
	if len(key) < 2 || key[0] != 'g' {
		return 0, false
	}
	n, err := strconv.Atoi(key[1:])
	return group(n), err == nil && n >= 0 && n < groupCount
}

// Keys returns the keys of all rows of QuotaTable.
func Keys() []provider.RowKey {
	keys := make([]provider.RowKey, groupCount)
	for i := range keys {
		keys[i] = group(i).key()
	}
	return keys
}

func holderKey(host string) provider.RowKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host))
	return provider.RowKey{Table: HolderTable, Partition: holderPartition(int(h.Sum32() % holderPartitions)), Key: host}
}

func holderPartition(n int) string { return "h" + strconv.Itoa(n) }

// HolderRanges returns the ranges of all rows of HolderTable.
func HolderRanges() []provider.RowRange {
	ranges := make([]provider.RowRange, holderPartitions)
	for i := range ranges {
		ranges[i] = provider.RowRange{Table: HolderTable, Partition: holderPartition(i)}
	}
	return ranges
}

const (
	// namedWorkspaces is the number of workspaces that metrics name, those with the largest quotas.
	namedWorkspaces = 20
	// OtherWorkspaces is the name that metrics give to all other workspaces.
	OtherWorkspaces = "other"
)

// metricNames returns the names of workspaces in metrics.
func metricNames(quotas []Quota) map[string]string {
	sorted := slices.Clone(quotas)
	slices.SortFunc(sorted, func(a, b Quota) int {
		return cmp.Or(cmp.Compare(b.RatePerSecond, a.RatePerSecond), cmp.Compare(a.Workspace, b.Workspace))
	})
	names := make(map[string]string, len(sorted))
	for i, q := range sorted {
		names[q.Workspace] = OtherWorkspaces
		if i < namedWorkspaces {
			names[q.Workspace] = q.Workspace
		}
	}
	return names
}

// Reasons of rejections.
const (
	// ReasonOverQuota means that the holder's fraction has no token in time.
	ReasonOverQuota = "overQuota"
	// ReasonProgram means that programs that have begun need the rest of the quota.
	ReasonProgram = "overQuotaForPrograms"
	// ReasonNoLease means that the holder could not renew its lease at the store.
	ReasonNoLease = "quotaUnavailable"
	// ReasonNoFraction means that the daemon that decided holds no part of the quota and got no tokens
	// from others.
	ReasonNoFraction = "quotaNotHeld"
	// ReasonNoHolder means that no holder replied in time.
	ReasonNoHolder = "quotaHolderLost"

	// reasonPending makes the asking daemon ask again.
	reasonPending = "quotaPending"
	// reasonUnknown and reasonStopping make the asking daemon ask another one.
	reasonUnknown  = "quotaUnknown"
	reasonStopping = "quotaHolderStopping"
)

// Request describes a call of a workspace.
type Request struct {
	Workspace string
	// Program is the ID of the call's program, empty if it has none.
	Program string
}

// Decision is the decision about a call.
type Decision struct {
	Admitted bool
	// Limited is set if the workspace has a quota.
	Limited bool
	// Expires is the time until which an admitted call must have been sent to a target.
	Expires time.Time
	// Reason is empty for admitted calls.
	Reason     string
	RetryAfter time.Duration
	// Holder is the daemon that decided, Fraction the fraction of the quota that it holds, and Age
	// the time since the store confirmed that fraction.
	Holder   string
	Fraction float64
	Age      time.Duration
}
