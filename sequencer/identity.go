package sequencer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// NewProgramID returns the id of a new root program in a failure domain.
func NewProgramID(domain string, random [16]byte) string {
	return domain + "-" + hex.EncodeToString(random[:])
}

// NewChildID returns the id of a new sub-agent. It embeds the root's id, so that a
// root and all its sub-agents are in one shard and share one budget without
// coordination between owners.
func NewChildID(parent string, random [16]byte) string {
	return RootOf(parent) + childSeparator + hex.EncodeToString(random[:])
}

// KeyedProgramID returns the id of the program that is created for a call with an
// idempotency key but without a program. Every host derives the same id, and so the
// same owner, for a key.
func KeyedProgramID(domains []string, client, service, key string) string {
	name := client + "\x00" + service + "\x00" + key
	var best string
	var highest uint64
	for _, domain := range domains {
		weight := xxhash.Sum64String(domain + "\x00" + name)
		if best == "" || weight > highest || weight == highest && domain < best {
			best, highest = domain, weight
		}
	}
	return best + "-k" + digestName(name)
}

// KeyedChildID returns the id of a sub-agent that is created with an idempotency key.
// The id depends only on parent and key, so that a repeated creation finds the
// existing sub-agent.
func KeyedChildID(parent, key string) string {
	return RootOf(parent) + childSeparator + "k" + digestName(parent+"\x00"+key)
}

func digestName(name string) string {
	sum := sha256.Sum256([]byte(name))
	return hex.EncodeToString(sum[:16])
}

// childSeparator separates the root's id from a sub-agent's. The random part of an id
// is hexadecimal or "k" and hexadecimal, so it never contains the separator.
const childSeparator = "x"

// RootOf returns the id of the root of a program's tree.
func RootOf(program string) string {
	start := strings.LastIndexByte(program, '-') + 1
	if i := strings.Index(program[start:], childSeparator); i >= 0 {
		return program[:start+i]
	}
	return program
}

// DomainOf returns the failure domain in a program's id, "" if there is none.
func DomainOf(program string) string {
	if i := strings.LastIndexByte(program, '-'); i > 0 {
		return program[:i]
	}
	return ""
}

// ShardOf returns the shard of a program.
func ShardOf(program string, shardsPerDomain int) string {
	n := xxhash.Sum64String(RootOf(program)) % uint64(max(shardsPerDomain, 1))
	return DomainOf(program) + "/" + strconv.FormatUint(n, 10)
}

// CallID returns the id of a call in commands and messages.
func CallID(program string, step int) string {
	return fmt.Sprintf("%s/%d", program, step)
}

// AttemptID returns the id of one attempt of a call at a target.
func AttemptID(call string, attempt int) string {
	return fmt.Sprintf("%s#%d", call, attempt)
}

func splitCallID(id string) (program string, step int, ok bool) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return "", 0, false
	}
	step, err := strconv.Atoi(id[i+1:])
	return id[:i], step, err == nil
}
