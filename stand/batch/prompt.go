package batch

import (
	"math"
	"math/rand/v2"

	"snipeshed/core"
)

// promptBytesPerToken is the usual average of English text.
const promptBytesPerToken = 4

// PromptTokens returns the number of tokens of a prompt, at four bytes each.
func PromptTokens(prompt string) core.Tokens {
	return core.Tokens((len(prompt) + promptBytesPerToken - 1) / promptBytesPerToken)
}

// Prefixes returns the FNV-1a hash of the prompt's first 1, 2, ... blocks; a partial last block has none.
func Prefixes(prompt string, blockTokens core.Tokens) []uint64 {
	const (
		offset = 14695981039346656037
		prime  = 1099511628211
	)
	size := int(blockTokens) * promptBytesPerToken
	out := make([]uint64, 0, len(prompt)/size)
	h := uint64(offset)
	for i := range len(prompt) {
		h = (h ^ uint64(prompt[i])) * prime
		if (i+1)%size == 0 {
			out = append(out, h)
		}
	}
	return out
}

// Output lengths by seed are log-normal: half are below 256 tokens, about one in 10,000 exceeds 32,000.
const (
	medianOutput             = 256
	sigmaOutput              = 1.3
	minOutput    core.Tokens = 4
	maxOutput    core.Tokens = 32_768
)

// SeedOutput returns the output length that belongs to a seed.
func SeedOutput(seed int64) core.Tokens {
	r := rand.New(rand.NewPCG(uint64(seed), 0))
	n := core.Tokens(medianOutput * math.Exp(sigmaOutput*r.NormFloat64()))
	return min(max(n, minOutput), maxOutput)
}
