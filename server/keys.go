package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/dogwoodweir/dogwoodweir/parser"
)

// Keyring knows the bearer keys of callers and operators by their hash.
type Keyring struct {
	keys []ringKey
}

type ringKey struct {
	sum    [sha256.Size]byte
	client string
	role   string
}

// NewKeyring returns a keyring with keys that the parser has checked.
func NewKeyring(keys []parser.Key) *Keyring {
	k := &Keyring{}
	for _, key := range keys {
		var entry ringKey
		sum, err := hex.DecodeString(key.SHA256)
		if err != nil || copy(entry.sum[:], sum) != sha256.Size {
			continue
		}
		entry.client, entry.role = key.Client, key.Role
		k.keys = append(k.keys, entry)
	}
	return k
}

// Authenticate returns the client and the role of the key in an Authorization header. It
// compares with every key in constant time, so that the time of a refusal says
// nothing about the keys.
func (k *Keyring) Authenticate(header string) (client, role string, ok bool) {
	token, bearer := strings.CutPrefix(header, "Bearer ")
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i := range k.keys {
		if subtle.ConstantTimeCompare(sum[:], k.keys[i].sum[:]) == 1 {
			found = i
		}
	}
	if !bearer || found < 0 {
		return "", "", false
	}
	return k.keys[found].client, k.keys[found].role, true
}
