package measurer

import (
	"math/rand/v2"
	"strings"
)

// Words with a Zipf distribution compress about as well as prose; repeated characters
// would make the log far smaller than with real text.
const (
	distinctWords = 5_000
	zipfExponent  = 1.1
)

// textGenerator generates text of pseudo-words.
type textGenerator struct {
	words []string
	zipf  *rand.Zipf
}

func newTextGenerator(seed uint64) *textGenerator {
	random := rand.New(rand.NewPCG(seed, 2))
	p := &textGenerator{zipf: rand.NewZipf(random, zipfExponent, 1, distinctWords-1)}
	for range distinctWords {
		word := make([]byte, 2+random.IntN(8))
		for i := range word {
			word[i] = byte('a' + random.IntN(26))
		}
		p.words = append(p.words, string(word))
	}
	return p
}

// text returns at least n bytes of text, up to the end of a word.
func (p *textGenerator) text(n int) string {
	var b strings.Builder
	for b.Len() < n {
		b.WriteString(p.words[p.zipf.Uint64()])
		b.WriteByte(' ')
	}
	return b.String()
}
