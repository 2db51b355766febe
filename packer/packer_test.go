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
			t.Fatalf("%d bytes came back as %d: %v", len(plain), len(got), err)
		}
	})
}

// TestLimit guards against small hostile values that expand without end.
func TestLimit(t *testing.T) {
	packed := packer.Deflate(make([]byte, 1_000_000))
	if _, err := packer.Inflate(packed, 999_999); err == nil {
		t.Error("a value above the limit was inflated")
	}
	if _, err := packer.Inflate([]byte("not deflated"), 100); err == nil {
		t.Error("a broken value was inflated")
	}
}
