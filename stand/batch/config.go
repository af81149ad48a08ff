package batch

import (
	"time"

	"snipeshed/core"
)

// Config sets the memory, limits and step durations of the simulated engine; zero values select the defaults.
type Config struct {
	// KVCapacity is the KV memory that sequences and cached prefixes share (default 100,000 tokens).
	KVCapacity core.Tokens
	// CacheTokens limits the cached prefixes that no running sequence uses (default: half of KVCapacity; negative disables the cache).
	CacheTokens core.Tokens
	// BlockTokens is the block size of the prefix cache (default 16 tokens).
	BlockTokens core.Tokens
	// MaxRunning limits the concurrently running sequences (default 64).
	MaxRunning int
	// MaxStepTokens limits the sum of decoded and prefilled tokens in one step (default 2,048).
	MaxStepTokens core.Tokens
	// WatermarkPercent is the share of the memory that must stay free when a sequence is admitted while others run
	// (default 1; negative disables it).
	WatermarkPercent int64
	// PreemptForUrgent also preempts running sequences to admit a waiting one with a higher priority.
	PreemptForUrgent bool
	// StepBase is the fixed duration of each step (default 8 ms).
	StepBase time.Duration
	// StepPerSequence is added for each sequence that decodes a token (default 100 µs).
	StepPerSequence time.Duration
	// StepPerPromptToken is added for each prefilled token (default 20 µs).
	StepPerPromptToken time.Duration
}

const (
	defaultKVCapacity         core.Tokens = 100_000
	defaultBlockTokens        core.Tokens = 16
	defaultMaxRunning                     = 64
	defaultMaxStepTokens      core.Tokens = 2048
	defaultWatermarkPercent               = 1
	defaultStepBase                       = 8 * time.Millisecond
	defaultStepPerSequence                = 100 * time.Microsecond
	defaultStepPerPromptToken             = 20 * time.Microsecond
)

func (c Config) withDefaults() Config {
	if c.KVCapacity == 0 {
		c.KVCapacity = defaultKVCapacity
	}
	if c.CacheTokens == 0 {
		c.CacheTokens = c.KVCapacity / 2
	}
	if c.BlockTokens == 0 {
		c.BlockTokens = defaultBlockTokens
	}
	if c.MaxRunning == 0 {
		c.MaxRunning = defaultMaxRunning
	}
	if c.MaxStepTokens == 0 {
		c.MaxStepTokens = defaultMaxStepTokens
	}
	if c.WatermarkPercent == 0 {
		c.WatermarkPercent = defaultWatermarkPercent
	}
	if c.StepBase == 0 {
		c.StepBase = defaultStepBase
	}
	if c.StepPerSequence == 0 {
		c.StepPerSequence = defaultStepPerSequence
	}
	if c.StepPerPromptToken == 0 {
		c.StepPerPromptToken = defaultStepPerPromptToken
	}
	return c
}
