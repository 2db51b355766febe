package surveyor

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against loads that a peer reads differently from what was sent, and against messages that grow: a
// report takes a few bytes for each target.
func TestLoadIsDecodedAsSent(t *testing.T) {
	want := load{}
	for i := range 40 {
		want[keyOf(fmt.Sprintf("engine-%02d", i))] = 1 + i*i
	}
	data := want.encode()
	got, err := decodeLoad(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("load differs (-sent +received):\n%s", diff)
	}
	const maxBytes = keyBytes + 2
	if len(data) > maxBytes*len(want) {
		t.Errorf("%d targets take %d bytes, want at most %d for each", len(want), len(data), maxBytes)
	}
}

// Guards against peers whose messages end a daemon or enter numbers that no daemon can have.
func TestMalformedLoad(t *testing.T) {
	tests := []struct {
		name string
		data []byte
	}{
		{"key only", []byte{1, 2, 3}},
		{"no calls", []byte{1, 2, 3, 0}},
		{"number without end", []byte{1, 2, 3, 0x80}},
		{"number out of range", []byte{1, 2, 3, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}},
		{"number too long", []byte{1, 2, 3, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}},
		{"target twice", []byte{1, 2, 3, 1, 1, 2, 3, 1}},
		{"rest", []byte{1, 2, 3, 1, 9}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := decodeLoad(test.data)
			var malformed *Error
			if !errors.As(err, &malformed) || malformed.Kind() != KindMalformed {
				t.Errorf("got error %v, want a malformed load", err)
			}
		})
	}
}

// FuzzDecodeLoad guards against messages that are accepted but do not decode to the same load again.
func FuzzDecodeLoad(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{1, 2, 3, 4})
	f.Add([]byte{1, 2, 3, 0x80, 1, 9, 9, 9, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := decodeLoad(data)
		if err != nil {
			return
		}
		again, err := decodeLoad(first.encode())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(first, again); diff != "" {
			t.Errorf("load differs (-first +again):\n%s", diff)
		}
	})
}

// Guards against reports that stay in the sum after they were replaced, or after their daemon has ended.
func TestCollection(t *testing.T) {
	c := newCollection()
	start := time.Unix(1_000, 0)
	options := DefaultOptions()
	c.put(start, "a", load{1: 3, 2: 1})
	c.put(start, "b", load{1: 2})
	c.put(start.Add(options.MaxAge/2), "b", load{2: 4})
	type result struct {
		Sum     load
		Reports int
		AgeMs   int64
	}
	tests := []struct {
		name    string
		after   int64
		without string
		want    result
	}{
		{"all", 250, "", result{load{1: 3, 2: 5}, 2, 125}},
		{"without one", 250, "a", result{load{2: 4}, 1, 0}},
		{"one too old", 500, "", result{load{2: 4}, 1, 250}},
		{"all too old", 750, "", result{load{}, 0, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := start.Add(time.Duration(test.after) * time.Millisecond)
			c.expire(now, options.MaxAge)
			sum, reports, age := c.sumWithout(now, test.without)
			if diff := cmp.Diff(test.want, result{sum, reports, age.Milliseconds()}); diff != "" {
				t.Errorf("sum differs (-want +got):\n%s", diff)
			}
		})
	}
}
