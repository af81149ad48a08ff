package prefix

import (
	"github.com/cespare/xxhash/v2"

	"snipeshed/core"
)

const (
	bytesPerToken  = 4
	blockBytes     = 64 // 16 tokens, the blocks that engines cache
	maxHashedBytes = 64 * blockBytes
)

// Tokens estimates a text's length.
func Tokens(text string) core.Tokens {
	return core.Tokens((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// Hashes returns the hash of each growing prefix by whole blocks, shortest first.
func Hashes(text string) []uint64 {
	var out []uint64
	d := xxhash.New()
	for at := blockBytes; at <= len(text) && at <= maxHashedBytes; at += blockBytes {
		_, _ = d.WriteString(text[at-blockBytes : at]) // a digest never fails
		out = append(out, d.Sum64())
	}
	return out
}
