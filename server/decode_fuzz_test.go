package server

import (
	"testing"
	"unicode/utf8"
)

// Guards against panics and out-of-range values from malicious bodies.
func FuzzDecodeChat(f *testing.F) {
	for _, seed := range []string{
		chatBodyText, `{}`, `null`, `[]`, `{"messages":[null]}`, `{"model":"a/b/c","messages":[{"role":"user"}]}`,
		`{"model":"a","max_tokens":1e30,"messages":[{"role":"user","content":"x"}]}`, "\xff", `{"model":"\u0000"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var call Call
		if decodeChat(data, &call) != nil {
			return
		}
		if call.Service == "" || len(call.Messages) == 0 || len(call.Messages) > maxMessages || call.MaxTokens < 0 {
			t.Errorf("accepted %+v", call)
		}
	})
}

// Guards against accepting header values outside their bounds.
func FuzzDecodeHeaders(f *testing.F) {
	for _, seed := range []string{"", "1", "-1", "999999999999999999999", "NaN", "1e400", "true", "nl-ams-1", "../../x", "\x00"} {
		f.Add(seed, seed)
	}
	f.Fuzz(func(t *testing.T, name, value string) {
		var call Call
		err := decodeHeaders(func(header string) string {
			if header == HeaderProgram || header == HeaderParentProgram {
				return name
			}
			return value
		}, &call)
		if err != nil {
			return
		}
		if call.Step < 0 || call.Step > maxStep || call.RemainingMs < 0 || call.RemainingMs > maxDeadlineMs ||
			!(call.Budget.Cost >= 0) || call.Budget.Tokens < 0 || !validID(call.Program) || !utf8.ValidString(call.Program) {
			t.Errorf("accepted %+v", call)
		}
	})
}

// Guards against panics from malicious proposals.
func FuzzDecodeProposal(f *testing.F) {
	for _, seed := range []string{`{"from":1,"action":"publish","document":{"version":1,"sections":[]}}`, `{"document":null}`, `{"from":-1}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if proposal, err := decodeProposal(data); err == nil && proposal.Action == "" {
			t.Errorf("accepted a proposal without an action: %+v", proposal)
		}
	})
}
