package controller

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// bytesPerToken is the usual ratio of English text, for estimates of prompts.
const bytesPerToken = 4

func promptTokens(messages []provider.ChatMessage) int {
	bytes := 0
	for _, message := range messages {
		bytes += len(message.Role) + len(message.Content) + bytesPerToken
	}
	return bytes/bytesPerToken + 1
}

// blockChain returns the hash chain of a prompt: one hash for each full block of
// the model's input, each covering everything before it. Equal prefixes of two
// prompts for the same model and adapter have equal hashes.
func blockChain(model, adapter string, messages []provider.ChatMessage) []uint64 {
	const blockBytes = provider.BlockTokens * bytesPerToken
	chain := xxhash.Sum64String(model + "\x00" + adapter)
	var blocks []uint64
	var digest xxhash.Digest
	digest.Reset()
	filled := 0
	var link [8]byte
	write := func(text string) {
		for len(text) > 0 {
			n := min(blockBytes-filled, len(text))
			_, _ = digest.WriteString(text[:n])
			text, filled = text[n:], filled+n
			if filled < blockBytes {
				continue
			}
			binary.LittleEndian.PutUint64(link[:], chain)
			_, _ = digest.Write(link[:])
			chain = digest.Sum64()
			blocks = append(blocks, chain)
			digest.Reset()
			filled = 0
		}
	}
	for _, message := range messages {
		write(message.Role)
		write("\x00")
		write(message.Content)
		write("\x00")
	}
	return blocks
}
