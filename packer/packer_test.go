package packer_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"github.com/dogwoodweir/dogwoodweir/packer"
)

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := rapid.SliceOf(rapid.Byte()).Draw(t, "plain")
		got, err := packer.Inflate(packer.Deflate(plain), len(plain))
		if err != nil || !bytes.Equal(plain, got) {
			t.Fatalf("%d bytes were inflated to %d: %v", len(plain), len(got), err)
		}
	})
}

// TestInflateRejects guards against small malicious values that expand to a huge size, and
// against corrupt ones.
func TestInflateRejects(t *testing.T) {
	deflated := packer.Deflate(make([]byte, 1_000_000))
	if _, err := packer.Inflate(deflated, 999_999); err == nil {
		t.Error("a value above the limit was inflated")
	}
	if _, err := packer.Inflate([]byte("not deflated"), 100); err == nil {
		t.Error("a corrupt value was inflated")
	}
}
