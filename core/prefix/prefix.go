package prefix

import (
	"github.com/cespare/xxhash/v2"

	"snipeshed/core"
)

const (
	bytesPerToken  = 4  // estimate
	blockBytes     = 64 // 16 tokens, the block size of engines' prefix caches
	maxHashedBytes = 64 * blockBytes
)

// EstimateTokens estimates the number of tokens of a text.
func EstimateTokens(text string) core.Tokens {
	return core.Tokens((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// Hashes returns the hash of each prefix that consists of whole blocks, shortest first, up to maxHashedBytes.
func Hashes(text string) []uint64 {
	var out []uint64
	d := xxhash.New()
	for at := blockBytes; at <= len(text) && at <= maxHashedBytes; at += blockBytes {
		_, _ = d.WriteString(text[at-blockBytes : at]) // never returns an error
		out = append(out, d.Sum64())
	}
	return out
}
