package controller

import (
	"math/rand/v2"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// programMessage is a message to the program loop.
type programMessage interface{ isProgramMessage() }

// pickTarget asks for the target of one attempt.
type pickTarget struct {
	candidates []provider.Member
	reply      chan<- provider.Member
}

type attemptEnded struct {
	target string
}

func (pickTarget) isProgramMessage()   {}
func (attemptEnded) isProgramMessage() {}

// programs is the state of the program loop.
type programs struct {
	outstanding map[string]int
	random      *rand.Rand
}

func newPrograms(seed uint64) *programs {
	return &programs{outstanding: map[string]int{}, random: rand.New(rand.NewPCG(seed, seed))}
}

func (p *programs) handle(message programMessage) {
	switch m := message.(type) {
	case pickTarget:
		a := m.candidates[p.random.IntN(len(m.candidates))]
		b := m.candidates[p.random.IntN(len(m.candidates))]
		if p.outstanding[b.Host] < p.outstanding[a.Host] {
			a = b
		}
		p.outstanding[a.Host]++
		m.reply <- a
	case attemptEnded:
		if p.outstanding[m.target]--; p.outstanding[m.target] <= 0 {
			delete(p.outstanding, m.target)
		}
	}
}
