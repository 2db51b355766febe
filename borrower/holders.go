package borrower

import (
	"context"
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/ranker"
)

const (
	// maxHolders is the number of daemons that are remembered for a program. Sub-agents of a program run
	// through a few daemons at the same time.
	maxHolders = 3
	// maxIndexedPrograms bounds the programs in the index of one daemon.
	maxIndexedPrograms = 4096
	// indexRetryDelay is how long a daemon whose index did not reply is passed over.
	indexRetryDelay = 2 * time.Second
)

// holderIndex remembers which daemons may hold unused tokens of programs. A wrong or missing entry costs
// calls only. It is safe for concurrent use.
type holderIndex struct {
	mutex sync.Mutex
	// holders has hashes of the names of programs, which take less memory than names of any length.
	holders *expirable.LRU[uint64, []string]
	seed    maphash.Seed
	// silentUntil is when the daemons that did not reply are asked again.
	silentUntil map[string]time.Time
}

func newHolderIndex(lifetime time.Duration) *holderIndex {
	return &holderIndex{
		holders: expirable.NewLRU[uint64, []string](maxIndexedPrograms, nil, lifetime), seed: maphash.MakeSeed(), silentUntil: map[string]time.Time{},
	}
}

// register records a daemon that is about to hold tokens of a program, and returns those that were
// registered before, the latest first.
func (x *holderIndex) register(program, host string) []string {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	key := maphash.String(x.seed, program)
	before, _ := x.holders.Get(key)
	others := slices.DeleteFunc(slices.Clone(before), func(h string) bool { return h == host })
	x.holders.Add(key, append([]string{host}, others[:min(len(others), maxHolders-1)]...))
	if others == nil {
		return []string{}
	}
	return others
}

func (x *holderIndex) recordSilent(now time.Time, host string) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.silentUntil[host] = now.Add(indexRetryDelay)
}

func (x *holderIndex) isSilent(now time.Time, host string) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	until, known := x.silentUntil[host]
	if known && !now.Before(until) {
		delete(x.silentUntil, host)
	}
	return known && now.Before(until)
}

// findHolders registers this daemon as a holder of a program's tokens and returns the peers that were
// registered before. The index of a program is kept by the daemon of the region that is first in the
// order of a hash, so that the daemons find each other without asking all.
func (b *Borrower) findHolders(ctx context.Context, program string) []messenger.Peer {
	peers := b.peers.RegionPeers()
	if len(peers) == 0 {
		return nil
	}
	now := time.Now()
	chosen := b.indexDaemon(now, program, peers)
	var hosts []string
	if chosen.Host == b.host {
		hosts = b.holders.register(program, b.host)
	} else {
		replied := false
		queryPeers(ctx, b, []messenger.Peer{chosen}, messenger.MethodFindHolders, encoder.HolderQuestion{Program: program, Host: b.host},
			replyHandler[encoder.HolderAnswer]{accept: func(_ string, reply *encoder.HolderAnswer) bool {
				hosts, replied = reply.Hosts, true
				return true
			}})
		if !replied && ctx.Err() == nil {
			b.holders.recordSilent(now, chosen.Host)
		}
	}
	return slices.DeleteFunc(slices.Clone(peers), func(p messenger.Peer) bool { return !slices.Contains(hosts, p.Host) })
}

// indexDaemon returns the daemon that keeps the index of a program, which may be this one.
func (b *Borrower) indexDaemon(now time.Time, program string, peers []messenger.Peer) messenger.Peer {
	candidates := []indexCandidate{{messenger.Peer{Host: b.host}}}
	for _, p := range peers {
		if p.Host != b.host && !b.holders.isSilent(now, p.Host) {
			candidates = append(candidates, indexCandidate{p})
		}
	}
	// There is a candidate with a weight, this daemon.
	chosen, _ := ranker.First(program, candidates)
	return chosen.Peer
}

// indexCandidate is a daemon that may keep the index of a program.
type indexCandidate struct{ messenger.Peer }

// Name implements ranker.Ranked.
func (c indexCandidate) Name() string { return c.Host }

// Weight implements ranker.Ranked. An index takes little work, so that all daemons count alike.
func (indexCandidate) Weight() float64 { return 1 }
