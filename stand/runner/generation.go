package runner

import (
	"strconv"
	"time"

	"snipeshed/core"
)

// generation is the state from which each stream of a generation can be served, from any token on.
type generation struct {
	id           core.GenerationID
	requestID    core.RequestID
	tokenPrefix  string // common prefix of the texts of all tokens
	started      bool
	cachedTokens core.Tokens
	tokens       core.Tokens
	preemptedAt  []core.Tokens // number of generated tokens at each preemption
	done         bool
	finishReason string // empty if canceled
	expiresAt    time.Time
	changed      chan struct{} // closed and replaced at each change
}

// cursor is a stream's position in a generation.
type cursor struct {
	headerSent     bool
	nextToken      core.Tokens
	nextPreemption int
}

// maxChunkBytes limits a single write to a client that lags behind.
const maxChunkBytes = 64 << 10

// appendLines appends the NDJSON lines after the cursor to b, up to about maxChunkBytes, and advances the cursor. It reports
// whether the stream has ended.
func (g *generation) appendLines(b []byte, c *cursor) ([]byte, bool) {
	if !g.started {
		return b, g.done
	}
	if !c.headerSent {
		c.headerSent = true
		b = append(b, `{"generation_id":`...)
		b = strconv.AppendQuote(b, string(g.id))
		b = append(b, `,"request_id":`...)
		b = append(b, quoteJSON(string(g.requestID))...)
		b = append(b, `,"cached_tokens":`...)
		b = strconv.AppendInt(b, int64(g.cachedTokens), 10)
		b = append(b, "}\n"...)
	}
	for {
		if c.nextPreemption < len(g.preemptedAt) && g.preemptedAt[c.nextPreemption] <= c.nextToken {
			if g.preemptedAt[c.nextPreemption] == c.nextToken {
				b = append(b, "{\"preempted\":true}\n"...)
			}
			c.nextPreemption++
			continue
		}
		if c.nextToken >= g.tokens {
			break
		}
		if len(b) >= maxChunkBytes {
			return b, false
		}
		b = append(b, `{"i":`...)
		b = strconv.AppendInt(b, int64(c.nextToken), 10)
		b = append(b, `,"t":"`...)
		b = append(b, g.tokenPrefix...)
		b = strconv.AppendInt(b, int64(c.nextToken), 10)
		b = append(b, " \"}\n"...)
		c.nextToken++
	}
	if g.done && g.finishReason != "" {
		b = append(b, `{"done":true,"finish_reason":"`...)
		b = append(b, g.finishReason...)
		b = append(b, `","tokens":`...)
		b = strconv.AppendInt(b, int64(g.tokens), 10)
		b = append(b, "}\n"...)
	}
	return b, g.done
}

func (g *generation) notifyReaders() {
	close(g.changed)
	g.changed = make(chan struct{})
}
