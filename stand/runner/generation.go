package runner

import (
	"strconv"
	"time"

	"snipeshed/core"
)

// generation is one generation and all that its readers may ask for again.
type generation struct {
	id       core.GenerationID
	req      core.RequestID
	prefix   string // of the tokens' texts
	started  bool
	cached   core.Tokens
	tokens   core.Tokens
	preempts []core.Tokens // number of tokens at each preemption
	done     bool
	reason   string // empty after a cancel
	expires  time.Time
	changed  chan struct{} // closed and replaced at each change
}

// cursor is a reader's position in a generation.
type cursor struct {
	header   bool
	next     core.Tokens
	preempts int
}

// maxLines bounds the bytes that a reader that lags gets at once.
const maxLines = 64 << 10

// lines appends the NDJSON lines after the cursor to b, moves the cursor and reports whether the stream is at its end.
func (g *generation) lines(b []byte, c *cursor) ([]byte, bool) {
	if !g.started {
		return b, g.done
	}
	if !c.header {
		c.header = true
		b = append(b, `{"generation_id":`...)
		b = strconv.AppendQuote(b, string(g.id))
		b = append(b, `,"request_id":`...)
		b = append(b, quoteJSON(string(g.req))...)
		b = append(b, `,"cached_tokens":`...)
		b = strconv.AppendInt(b, int64(g.cached), 10)
		b = append(b, "}\n"...)
	}
	for {
		if c.preempts < len(g.preempts) && g.preempts[c.preempts] <= c.next {
			if g.preempts[c.preempts] == c.next {
				b = append(b, "{\"preempted\":true}\n"...)
			}
			c.preempts++
			continue
		}
		if c.next >= g.tokens {
			break
		}
		if len(b) >= maxLines {
			return b, false
		}
		b = append(b, `{"i":`...)
		b = strconv.AppendInt(b, int64(c.next), 10)
		b = append(b, `,"t":"`...)
		b = append(b, g.prefix...)
		b = strconv.AppendInt(b, int64(c.next), 10)
		b = append(b, " \"}\n"...)
		c.next++
	}
	if g.done && g.reason != "" {
		b = append(b, `{"done":true,"finish_reason":"`...)
		b = append(b, g.reason...)
		b = append(b, `","tokens":`...)
		b = strconv.AppendInt(b, int64(g.tokens), 10)
		b = append(b, "}\n"...)
	}
	return b, g.done
}

func (g *generation) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}
