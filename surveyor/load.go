package surveyor

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"math"
	"slices"
)

const (
	// keyBytes is the length of a target's key. Two targets with the same key count as equally busy: of
	// 1,000 targets in a failure domain, 0.03 pairs have one.
	keyBytes = 3
	keyMask  = 1<<(8*keyBytes) - 1
	// maxLoadEntries bounds the targets of a message.
	maxLoadEntries = 16_384
)

// targetKey identifies a target in messages: a hash of its ID.
type targetKey uint32

func keyOf(id string) targetKey {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	// The last bytes of the input hardly change the high bits of the hash.
	x := h.Sum64()
	return targetKey((x ^ x>>24 ^ x>>48) & keyMask)
}

// load is the number of calls by target.
type load map[targetKey]int

// encode returns the targets with calls, by key: keyBytes bytes of the key and the number as a variable-length
// integer.
func (l load) encode() []byte {
	keys := make([]targetKey, 0, len(l))
	for key, calls := range l {
		if calls > 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	data := make([]byte, 0, len(keys)*(keyBytes+1))
	for _, key := range keys {
		data = append(data, byte(key>>16), byte(key>>8), byte(key))
		data = binary.AppendUvarint(data, uint64(l[key]))
	}
	return data
}

// decodeLoad decodes a load of a message.
func decodeLoad(data []byte) (load, error) {
	l := load{}
	for len(data) > 0 {
		if len(data) <= keyBytes {
			return nil, malformed("truncated entry")
		}
		key := targetKey(data[0])<<16 | targetKey(data[1])<<8 | targetKey(data[2])
		calls, length := binary.Uvarint(data[keyBytes:])
		if length <= 0 || calls == 0 || calls > math.MaxInt32 {
			return nil, malformed("number of calls out of range")
		}
		if _, exists := l[key]; exists || len(l) == maxLoadEntries {
			return nil, malformed("duplicate entry or too many entries")
		}
		l[key] = int(calls)
		data = data[keyBytes+length:]
	}
	return l, nil
}

func malformed(text string) error {
	return &Error{operation: "decode load", kind: KindMalformed, cause: errors.New(text)}
}
