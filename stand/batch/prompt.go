package batch

import (
	"math"
	"math/rand/v2"

	"snipeshed/core"
)

// promptBytesPerToken is the typical average of English text.
const promptBytesPerToken = 4

// PromptTokens estimates the number of tokens of a prompt at four bytes a token.
func PromptTokens(prompt string) core.Tokens {
	return core.Tokens((len(prompt) + promptBytesPerToken - 1) / promptBytesPerToken)
}

// PrefixHashes returns a hash (FNV-1a) for each prefix of the prompt that consists of whole blocks, the shortest first.
func PrefixHashes(prompt string, blockTokens core.Tokens) []uint64 {
	const (
		offset = 14695981039346656037
		prime  = 1099511628211
	)
	blockBytes := int(blockTokens) * promptBytesPerToken
	out := make([]uint64, 0, len(prompt)/blockBytes)
	h := uint64(offset)
	for i := range len(prompt) {
		h = (h ^ uint64(prompt[i])) * prime
		if (i+1)%blockBytes == 0 {
			out = append(out, h)
		}
	}
	return out
}

// Parameters of the log-normal output lengths: half are below 256 tokens, about one in 10,000 exceeds 32,000.
const (
	medianOutputTokens             = 256
	outputLogSigma                 = 1.3
	minOutputTokens    core.Tokens = 4
	maxOutputTokens    core.Tokens = 32_768
)

// OutputLengthFromSeed draws an output length from a log-normal distribution; the same seed gives the same length.
func OutputLengthFromSeed(seed int64) core.Tokens {
	r := rand.New(rand.NewPCG(uint64(seed), 0))
	n := core.Tokens(medianOutputTokens * math.Exp(outputLogSigma*r.NormFloat64()))
	return min(max(n, minOutputTokens), maxOutputTokens)
}
