package caller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"snipeshed/core"
	"snipeshed/stand/runner"
)

// Error is the error that an instance answered with.
type Error struct {
	Kind            core.Kind `json:"kind"`
	Message         string    `json:"message"`
	Remedy          string    `json:"remedy"`
	Run             core.Run  `json:"run"`
	RequestID       string    `json:"request_id"`
	RetryAfterMS    int64     `json:"retry_after_ms"`
	TokensDelivered int64     `json:"tokens_delivered"`
}

// Answer is what a client saw of one request.
type Answer struct {
	Status int
	ID     core.RequestID
	Text   string
	Body   []byte
	Finish string
	Done   bool // [DONE] or a whole answer
	Err    *Error
	Broken error // the connection broke
	Gap    time.Duration
	Took   time.Duration
	Header http.Header
}

func (a Answer) String() string {
	n := len(strings.Fields(a.Text))
	return fmt.Sprintf("status %d, %d tokens, done %v, error %+v, connection error %v, longest gap %s, took %s", a.Status, n, a.Done, a.Err, a.Broken, a.Gap, a.Took)
}

// NotRun reports whether the request was refused with the proof that it was not run.
func (a Answer) NotRun() bool { return a.Broken == nil && a.Err != nil && a.Err.Run == core.RunNot }

type chunk struct {
	Error   *Error
	Choices []struct {
		Delta, Message struct{ Content string }
		FinishReason   string `json:"finish_reason"`
	}
}

func (a *Answer) readWhole(body io.Reader) {
	if a.Body, a.Broken = io.ReadAll(body); a.Broken != nil {
		return
	}
	var c chunk
	if err := json.Unmarshal(a.Body, &c); err != nil {
		return // an application's answer
	}
	a.Err = c.Error
	if len(c.Choices) > 0 {
		a.Text, a.Finish, a.Done = c.Choices[0].Message.Content, c.Choices[0].FinishReason, true
	}
}

func (a *Answer) readStream(body io.Reader, q *Ask) {
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	s := bufio.NewScanner(body)
	s.Buffer(nil, 1<<20)
	last, n := time.Time{}, 0
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Done = true
			continue
		}
		var c chunk
		if a.Broken = json.Unmarshal([]byte(data), &c); a.Broken != nil {
			return
		}
		if c.Error != nil {
			a.Err = c.Error
		}
		if len(c.Choices) == 0 {
			continue
		}
		text.WriteString(c.Choices[0].Delta.Content)
		if c.Choices[0].FinishReason != "" {
			a.Finish = c.Choices[0].FinishReason
			continue
		}
		if now := time.Now(); last.IsZero() {
			last = now
		} else {
			a.Gap, last = max(a.Gap, now.Sub(last)), now
		}
		if n++; q.Then != nil && n == q.At {
			q.Then()
		}
	}
	a.Broken = s.Err()
}

// Check verifies the tokens of an answer: each once, in order, of one generation, of this request and mark.
func (a Answer) Check(q Ask) (int, error) {
	n, err := runner.CheckText(a.Text, a.ID, q.Mark)
	return int(n), err
}

// Honest verifies that an answer is complete or ends with a typed error that says how much was delivered.
func (a Answer) Honest(q Ask) error {
	n, err := a.Check(q)
	switch {
	case err != nil:
		return err
	case a.Broken != nil || a.Done == (a.Err != nil) || (a.Err != nil && a.Err.TokensDelivered != int64(n)):
		return fmt.Errorf("answer with %d of %d tokens does not end honestly: %s", n, q.Output, a)
	case a.Err == nil:
		return a.Complete(q)
	}
	return nil
}

// Complete verifies that an answer is complete.
func (a Answer) Complete(q Ask) error {
	n, err := a.Check(q)
	switch {
	case err != nil:
		return err
	case a.Status != http.StatusOK || !a.Done || a.Err != nil || a.Broken != nil || n != q.Output:
		return fmt.Errorf("answer with %d of %d tokens is not complete: %s", n, q.Output, a)
	}
	return nil
}
