package connector

import (
	"testing"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Guards against panics and against chunks of another call from hostile engines.
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

// Guards against errors of a target that are taken for "no effect" by accident.
func FuzzFailureOf(f *testing.F) {
	for _, seed := range []string{`{"kind":"refused"}`, `{"kind":"none"}`, `{"kind":""}`, `{}`, `x`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if kind := provider.KindOf(failureOf("o", 500, body)); kind == provider.KindNone {
			t.Errorf("%q is taken for success", body)
		}
	})
}
