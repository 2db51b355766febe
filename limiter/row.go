package limiter

import (
	"encoding/json"
	"slices"

	"github.com/dogwoodweir/dogwoodweir/encoder"
)

// share is the fraction of one holder.
type share struct {
	host        string
	incarnation string
	parts       int
	// need is the demand at the holder in millionths of the quota when it last wrote the row.
	need int
}

// short reports whether a demand needs much more than a fraction that it could fairly have.
func short(need, fair, parts int) bool {
	return float64(min(need, fair)) > float64(parts)*shortAt+minChange/2
}

// allocation is the allocation of a workspace's quota.
type allocation struct {
	// tokens are the tokens of the remainder.
	tokens float64
	shares []share
}

func (a *allocation) clone() *allocation {
	return &allocation{tokens: a.tokens, shares: slices.Clone(a.shares)}
}

// remainder returns the part of the quota that no daemon holds.
func (a *allocation) remainder() int {
	rest := wholeQuota
	for i := range a.shares {
		rest -= a.shares[i].parts
	}
	return max(0, rest)
}

// find returns the share of a process, or nil.
func (a *allocation) find(host, incarnation string) *share {
	for i := range a.shares {
		if a.shares[i].host == host && a.shares[i].incarnation == incarnation {
			return &a.shares[i]
		}
	}
	return nil
}

// partsOf returns the fraction of a process.
func (a *allocation) partsOf(host, incarnation string) int {
	if s := a.find(host, incarnation); s != nil {
		return s.parts
	}
	return 0
}

// free removes the shares for which ended returns true. The remainder gets restartTokens tokens for
// the whole quota, since it is not known how many tokens their holders had.
func (a *allocation) free(q *Quota, ended func(s *share) bool) bool {
	freed := 0
	before := len(a.shares)
	a.shares = slices.DeleteFunc(a.shares, func(s share) bool {
		if !ended(&s) {
			return false
		}
		freed += s.parts
		return true
	})
	a.tokens += restartTokens * float64(freed) / wholeQuota
	a.capTokens(q)
	return len(a.shares) < before
}

// othersNeeds returns the demands of all holders but those on a host.
func (a *allocation) othersNeeds(host string) []int {
	var needs []int
	for i := range a.shares {
		if a.shares[i].host != host {
			needs = append(needs, a.shares[i].need)
		}
	}
	return needs
}

// lacks reports whether a holder is short.
func (a *allocation) lacks(s *share) bool {
	return short(s.need, fairParts(s.need, a.othersNeeds(s.host)), s.parts)
}

func (a *allocation) capTokens(q *Quota) {
	a.tokens = min(a.tokens, float64(a.remainder())/wholeQuota*q.depth())
}

// set changes the fraction and the demand of a process. given are the tokens that it returns with a
// reduced fraction. set returns those that it gets with an enlarged one.
func (a *allocation) set(q *Quota, own share, given float64) (taken float64) {
	rest := a.remainder()
	current := a.find(own.host, own.incarnation)
	if current == nil {
		a.shares = append(a.shares, share{host: own.host, incarnation: own.incarnation})
		current = &a.shares[len(a.shares)-1]
	}
	if more := own.parts - current.parts; more > 0 && rest > 0 {
		taken = a.tokens * min(1, float64(more)/float64(rest))
		a.tokens -= taken
	}
	*current = own
	if own.parts == 0 && own.need == 0 {
		a.shares = slices.DeleteFunc(a.shares, func(s share) bool { return s.parts == 0 && s.need == 0 })
	}
	a.tokens += given
	a.capTokens(q)
	return taken
}

// headroom is the fraction that a daemon holds while the quota is not short, as a multiple of the
// demand. With the usual quota of 1.6 times the rate it leaves a fifth of the quota to others.
const headroom = 1.25

// fairParts returns the fraction that a demand gets beside others: with headroom if the quota suffices,
// in proportion to the demand if it suffices without, and otherwise an equal share, or less if the demand
// is less.
func fairParts(need int, others []int) int {
	sum, largest := need, need
	for _, n := range others {
		sum += n
		largest = max(largest, n)
	}
	switch {
	case need == 0:
		return 0
	case float64(sum)*headroom <= wholeQuota:
		return int(float64(need) * headroom)
	case sum <= wholeQuota:
		return int(float64(need) / float64(sum) * wholeQuota)
	}
	// Demands up to the level are met, the others get the level.
	all := append(slices.Clone(others), need)
	slices.Sort(all)
	rest := wholeQuota
	for i, n := range all {
		level := rest / (len(all) - i)
		if n >= level {
			return min(need, level)
		}
		rest -= n
	}
	return need
}

// decodeRow decodes a row of QuotaTable.
func decodeRow(value []byte) (map[string]*allocation, error) {
	var row encoder.QuotaRow
	if err := json.Unmarshal(value, &row); err != nil {
		return nil, &Error{operation: "decode row", kind: KindMalformed, cause: err}
	}
	allocations := make(map[string]*allocation, len(row.Entries))
	for _, e := range row.Entries {
		a := &allocation{tokens: float64(e.MilliTokens) / 1000}
		for _, s := range e.Shares {
			a.shares = append(a.shares, share{host: s.Host, incarnation: s.Incarnation, parts: max(0, s.Parts), need: s.Need})
		}
		allocations[e.Workspace] = a
	}
	return allocations, nil
}

// encodeRow encodes a row of QuotaTable.
func encodeRow(allocations map[string]*allocation) []byte {
	row := encoder.QuotaRow{Entries: []encoder.QuotaEntry{}}
	for _, workspace := range sortedKeys(allocations) {
		a := allocations[workspace]
		e := encoder.QuotaEntry{Workspace: workspace, MilliTokens: int(a.tokens * 1000), Shares: []encoder.QuotaShare{}}
		for _, s := range a.shares {
			e.Shares = append(e.Shares, encoder.QuotaShare{Host: s.host, Incarnation: s.incarnation, Parts: s.parts, Need: s.need})
		}
		row.Entries = append(row.Entries, e)
	}
	value, err := json.Marshal(row)
	if err != nil {
		// The types of a row have no value that cannot be encoded.
		panic(err)
	}
	return value
}
