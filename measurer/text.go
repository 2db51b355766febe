package measurer

import (
	"math/rand/v2"
	"strings"
)

// vocabulary and its Zipf exponent give text that compresses about as prose does:
// repeated characters would make the log look far smaller than it is.
const (
	vocabulary   = 5_000
	zipfExponent = 1.1
)

// prose makes text of pseudo-words.
type prose struct {
	words []string
	zipf  *rand.Zipf
}

func newProse(seed uint64) *prose {
	random := rand.New(rand.NewPCG(seed, 2))
	p := &prose{zipf: rand.NewZipf(random, zipfExponent, 1, vocabulary-1)}
	for range vocabulary {
		word := make([]byte, 2+random.IntN(8))
		for i := range word {
			word[i] = byte('a' + random.IntN(26))
		}
		p.words = append(p.words, string(word))
	}
	return p
}

// text returns about n bytes.
func (p *prose) text(n int) string {
	var b strings.Builder
	for b.Len() < n {
		b.WriteString(p.words[p.zipf.Uint64()])
		b.WriteByte(' ')
	}
	return b.String()
}
