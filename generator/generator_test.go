package generator_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/generator"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Guards against programs above the limits of 72 turns and 250,000 tokens, hash chains
// that do not match their prompts, and a load without a long tail.
func TestProgramsStayWithinLimits(t *testing.T) {
	source := generator.New(generator.Wickramasinghe(), generator.DefaultShape(), 2, 1)
	long, subAgents := 0, 0
	for range 5_000 {
		p := source.Next()
		if len(p.Turns) < 1 || len(p.Turns) > 72 {
			t.Fatalf("program %s has %d turns", p.ID, len(p.Turns))
		}
		if len(p.Turns) > 24 {
			long++
		}
		_, total := p.PromptTokens(len(p.Turns) - 1)
		if total > 250_000 || len(p.Chain) != total/provider.BlockTokens {
			t.Fatalf("program %s has %d tokens and %d blocks", p.ID, total, len(p.Chain))
		}
		for _, turn := range p.Turns {
			subAgents += len(turn.SubAgents)
		}
	}
	if long < 100 || long > 1_000 || subAgents < 500 {
		t.Errorf("%d of 5,000 programs have over 24 turns (want 2 to 20 %%), %d sub-agents", long, subAgents)
	}
}

// Guards against programs that depend on the arrival rate, and against programs with
// the same shared prefix but different hashes for it.
func TestShapeDoesNotDependOnRate(t *testing.T) {
	shape := generator.DefaultShape()
	slow := generator.New(generator.Lichtbeeld(), shape, 1, 7)
	fast := generator.New(generator.Lichtbeeld(), shape, 2, 7)
	prefixBlocks := map[int]uint64{}
	for range 200 {
		a, b := slow.Next(), fast.Next()
		if ratio := float64(a.Arrival) / float64(b.Arrival); ratio < 1.99 || ratio > 2.01 {
			t.Fatalf("program %s arrives at %v and %v, want half the time at the double rate", a.ID, a.Arrival, b.Arrival)
		}
		b.Arrival = a.Arrival
		if diff := cmp.Diff(a, b); diff != "" {
			t.Fatalf("program %s differs (-slow +fast):\n%s", a.ID, diff)
		}
		block := lastPrefixBlock(a)
		if previous, ok := prefixBlocks[a.PrefixIndex]; ok && previous != block {
			t.Fatalf("prefix %d ends with hashes %x and %x", a.PrefixIndex, previous, block)
		}
		prefixBlocks[a.PrefixIndex] = block
	}
}

func lastPrefixBlock(p *generator.Program) uint64 {
	return p.Chain[p.PrefixTokens/provider.BlockTokens-1]
}
