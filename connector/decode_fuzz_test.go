package connector

import (
	"testing"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Guards against panics on lines from a hostile engine and against accepting a chunk of
// another attempt, out of sequence or with negative usage.
func FuzzDecodeChunk(f *testing.F) {
	for _, seed := range []string{
		`{"call":"c","sequence":3,"text":"a"}`, `{"call":"c","sequence":3,"final":true,"usage":{"promptTokens":-1}}`,
		`{"call":"x","sequence":3}`, `null`, `[]`, `{"sequence":1e99}`, "\xff", `{"call":"c","sequence":3,"usage":null}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		chunk, err := decodeChunk(line, "c", 3)
		if err == nil && (chunk.AttemptID != "c" || chunk.Sequence != 3 || chunk.Usage.PromptTokens < 0) {
			t.Errorf("accepted %+v", chunk)
		}
	})
}

// Guards against an error response that is treated as a success because its body names
// the kind "none" or no valid kind.
func FuzzFailureOf(f *testing.F) {
	for _, seed := range []string{`{"kind":"refused"}`, `{"kind":"none"}`, `{"kind":""}`, `{}`, `x`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if kind := provider.KindOf(responseError("o", 500, body)); kind == provider.KindNone {
			t.Errorf("%q yields no error", body)
		}
	})
}
