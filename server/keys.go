package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/dogwoodweir/dogwoodweir/parser"
)

// Keyring holds the hashes of the bearer keys of callers and operators.
type Keyring struct {
	keys []keyEntry
}

type keyEntry struct {
	sum    [sha256.Size]byte
	client string
	role   string
}

// NewKeyring returns a keyring with keys that the parser has checked. It skips keys
// with a malformed hash.
func NewKeyring(keys []parser.Key) *Keyring {
	k := &Keyring{}
	for _, key := range keys {
		var entry keyEntry
		sum, err := hex.DecodeString(key.SHA256)
		if err != nil || copy(entry.sum[:], sum) != sha256.Size {
			continue
		}
		entry.client, entry.role = key.Client, key.Role
		k.keys = append(k.keys, entry)
	}
	return k
}

// Authenticate returns the client and the role of the key in an Authorization
// header. It compares with every key in constant time, so that the time of a
// rejection reveals nothing about the keys.
func (k *Keyring) Authenticate(header string) (client, role string, ok bool) {
	token, bearer := strings.CutPrefix(header, "Bearer ")
	sum := sha256.Sum256([]byte(token))
	match := -1
	for i := range k.keys {
		if subtle.ConstantTimeCompare(sum[:], k.keys[i].sum[:]) == 1 {
			match = i
		}
	}
	if !bearer || match < 0 {
		return "", "", false
	}
	return k.keys[match].client, k.keys[match].role, true
}
