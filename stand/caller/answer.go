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

// Error is the error in an instance's answer.
type Error struct {
	Kind            core.ErrorKind `json:"kind"`
	Message         string         `json:"message"`
	Remedy          string         `json:"remedy"`
	Run             core.Execution `json:"run"`
	RequestID       string         `json:"request_id"`
	RetryAfterMS    int64          `json:"retry_after_ms"`
	TokensDelivered int64          `json:"tokens_delivered"`
}

// Answer is the outcome of a request as the client saw it.
type Answer struct {
	Status       int
	RequestID    core.RequestID
	Text         string
	Body         []byte
	FinishReason string
	Done         bool // a stream ended with [DONE], or a non-streamed answer was read
	Err          *Error
	TransportErr error // the connection failed or an event could not be decoded
	LongestGap   time.Duration
	Duration     time.Duration
	Header       http.Header
}

func (a Answer) String() string {
	n := len(strings.Fields(a.Text))
	return fmt.Sprintf("status %d, %d tokens, done %v, error %+v, connection error %v, longest gap %s, took %s", a.Status, n, a.Done, a.Err, a.TransportErr, a.LongestGap, a.Duration)
}

// NotRun reports whether the answer is a refusal that says that the request was not run.
func (a Answer) NotRun() bool {
	return a.TransportErr == nil && a.Err != nil && a.Err.Run == core.NotExecuted
}

// completion is the part of a chat completion, or of a chunk of a streamed one, that the checks need.
type completion struct {
	Error   *Error
	Choices []struct {
		Delta, Message struct{ Content string }
		FinishReason   string `json:"finish_reason"`
	}
}

func (a *Answer) readNonStreaming(body io.Reader) {
	if a.Body, a.TransportErr = io.ReadAll(body); a.TransportErr != nil {
		return
	}
	var c completion
	if err := json.Unmarshal(a.Body, &c); err != nil {
		return // an application's answer need not be JSON
	}
	a.Err = c.Error
	if len(c.Choices) > 0 {
		a.Text, a.FinishReason, a.Done = c.Choices[0].Message.Content, c.Choices[0].FinishReason, true
	}
}

func (a *Answer) readStream(body io.Reader, q *ChatRequest) {
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
		var c completion
		if a.TransportErr = json.Unmarshal([]byte(data), &c); a.TransportErr != nil {
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
			a.FinishReason = c.Choices[0].FinishReason
			continue
		}
		if now := time.Now(); last.IsZero() {
			last = now
		} else {
			a.LongestGap, last = max(a.LongestGap, now.Sub(last)), now
		}
		if n++; q.Callback != nil && n == q.CallbackAt {
			q.Callback()
		}
	}
	a.TransportErr = s.Err()
}

// CheckTokens checks that the tokens of an answer arrived once and in order, and come from one generation of this request
// with its mark. It returns their number.
func (a Answer) CheckTokens(q ChatRequest) (int, error) {
	n, err := runner.CheckText(a.Text, a.RequestID, q.Mark)
	return int(n), err
}

// CheckCompleteOrError returns an error unless the answer is complete or ends with an error that states the right number of
// delivered tokens.
func (a Answer) CheckCompleteOrError(q ChatRequest) error {
	n, err := a.CheckTokens(q)
	switch {
	case err != nil:
		return err
	case a.TransportErr != nil || a.Done == (a.Err != nil) || (a.Err != nil && a.Err.TokensDelivered != int64(n)):
		return fmt.Errorf("answer with %d of %d tokens is neither complete nor ended by an error with the right token count: %s", n, q.OutputTokens, a)
	case a.Err == nil:
		return a.CheckComplete(q)
	}
	return nil
}

// CheckComplete returns an error unless the answer is complete.
func (a Answer) CheckComplete(q ChatRequest) error {
	n, err := a.CheckTokens(q)
	switch {
	case err != nil:
		return err
	case a.Status != http.StatusOK || !a.Done || a.Err != nil || a.TransportErr != nil || n != q.OutputTokens:
		return fmt.Errorf("answer with %d of %d tokens is not complete: %s", n, q.OutputTokens, a)
	}
	return nil
}
