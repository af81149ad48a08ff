package caller

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"snipeshed/stand/fleet"
)

// ChatRequest describes a chat request.
type ChatRequest struct {
	Key          string // API key; default fleet.UrgentKey
	Model        string // default fleet.Service
	Mark         string // text that the runner repeats in its tokens; set by Body when empty
	OutputTokens int
	NonStreaming bool
	Timeout      time.Duration
	// CallbackAt is the number of received tokens at which Callback is called.
	CallbackAt int
	Callback   func()
}

var marks atomic.Int64

// NewMark returns a mark that is unique in this process.
func NewMark() string { return "m" + strconv.FormatInt(marks.Add(1), 10) }

// Body returns the request's JSON body.
func (q *ChatRequest) Body() []byte {
	if q.Mark == "" {
		q.Mark = NewMark()
	}
	model := q.Model
	if model == "" {
		model = fleet.Service
	}
	b, _ := json.Marshal(map[string]any{
		"model": model, "stream": !q.NonStreaming,
		"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("[output=%d][mark=%s] survey the coating", q.OutputTokens, q.Mark)}},
	}) // plain values always marshal
	return b
}
