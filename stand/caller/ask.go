package caller

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"snipeshed/stand/fleet"
)

// Ask describes one chat request.
type Ask struct {
	Key     string // by default fleet.UrgentKey
	Model   string // by default fleet.Service
	Mark    string // set by Body when empty
	Output  int
	Whole   bool
	Timeout time.Duration
	// At calls Then once that many tokens have arrived.
	At   int
	Then func()
}

var marks atomic.Int64

// NewMark returns a mark that no other request of this process has.
func NewMark() string { return "m" + strconv.FormatInt(marks.Add(1), 10) }

// Body returns the request's body.
func (q *Ask) Body() []byte {
	if q.Mark == "" {
		q.Mark = NewMark()
	}
	model := q.Model
	if model == "" {
		model = fleet.Service
	}
	b, _ := json.Marshal(map[string]any{
		"model": model, "stream": !q.Whole,
		"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("[output=%d][mark=%s] survey the coating", q.Output, q.Mark)}},
	}) // plain values always marshal
	return b
}
