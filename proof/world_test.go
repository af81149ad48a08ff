package proof

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/stand/fleet"
	"snipeshed/stand/objs"
	"snipeshed/stand/runner"
	"snipeshed/wire"
)

// Bounds that follow from the stated targets.
const (
	// detect is the time in which a silent connection must be found (design 4.5, 5.5).
	detect = 2 * time.Second
	// resumeSlack is allowed on top for the resume itself and for the noise of a shared machine.
	resumeSlack = time.Second
	// leaveBound is the time after which a leaving endpoint receives no new work (design 1.2).
	leaveBound = 3 * time.Second
	// ticketBound is the time in which a ticket is in force everywhere (design 1.2).
	ticketBound = 10 * time.Second
	startLimit  = 20 * time.Second
	// stopLimit ends a test that failed midway; a stop that takes as long cuts requests off and so fails the test.
	stopLimit = 20 * time.Second
)

const pool = core.PoolID(fleet.Model + "/0")

// world is one fleet of 3 instances, 3 model runners and 1 application runner.
type world struct {
	*fleet.Fleet
	t      *testing.T
	client *http.Client
	// mu guards Nodes where a test adds instances.
	mu sync.Mutex
}

func (w *world) nodes() []*fleet.Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.Nodes)
}

func start(t *testing.T, opts ...fleet.Option) *world {
	t.Helper()
	return startWith(t, nil, opts...)
}

// empty returns a world with a platform only.
func empty(t *testing.T, opts ...fleet.Option) *world {
	t.Helper()
	is := is.New(t)
	// The instances find each other sooner than by default; tests of the instance list's lag set their own.
	opts = append([]fleet.Option{
		fleet.WithLinks(), fleet.WithPlatform(objs.WithListLag(100 * time.Millisecond)),
		fleet.WithSettings(func(s *conf.Settings) {
			s.LeaveDelayMs, s.ListPollMs, s.GossipIntervalMs, s.LoadPollMs = new(int64(300)), 200, 200, 200
			s.StopTimeoutMs = new(stopLimit.Milliseconds())
		}),
	}, opts...)
	if path := os.Getenv("E2E_LOGS"); path != "" {
		f, err := os.Create(path + "/" + strings.ReplaceAll(t.Name(), "/", "_") + ".log")
		is.NoErr(err)
		t.Cleanup(func() { f.Close() })
		opts = append(opts, fleet.WithLogs(f))
	}
	f, err := fleet.New(opts...)
	is.NoErr(err)
	w := &world{Fleet: f, t: t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	t.Cleanup(func() {
		w.client.CloseIdleConnections()
		f.Platform.SetOutage(objs.OutageNone) // outcomes that wait for the store can be recorded
		if err := f.Close(); err != nil {
			t.Errorf("close fleet: %v", err)
		}
	})
	return w
}

// startWith also sets options of the runners.
func startWith(t *testing.T, runners []runner.Option, opts ...fleet.Option) *world {
	t.Helper()
	is := is.New(t)
	w := empty(t, opts...)
	f := w.Fleet
	for range 3 {
		_, err := f.AddRunner(append(runners, runner.WithLoadLag(100*time.Millisecond))...)
		is.NoErr(err)
	}
	_, err := f.AddService()
	is.NoErr(err)
	for range 3 {
		_, err := f.AddNode()
		is.NoErr(err)
	}
	is.NoErr(f.WaitReady(startLimit))
	w.configure(f.Ticket())
	return w
}

// configure waits until all instances know each other, applies the first ticket and waits until all runners take work.
func (w *world) configure(t *wire.Ticket) {
	w.t.Helper()
	is := is.New(w.t)
	is.NoErr(fleet.Wait(startLimit, "every instance knows the others", func() bool {
		for _, n := range w.Nodes {
			if n.Owner(pool) != w.Nodes[0].Owner(pool) || n.Others() < len(w.Nodes)-1 {
				return false
			}
		}
		return true
	}))
	w.apply(w.Nodes[0], t)
	is.NoErr(w.WaitAccepting(startLimit, len(w.Runners)))
}

// apply applies a ticket and waits until it is in force at every instance.
func (w *world) apply(n *fleet.Node, t *wire.Ticket) uint64 {
	w.t.Helper()
	is := is.New(w.t)
	ctx, cancel := context.WithTimeout(context.Background(), ticketBound)
	defer cancel()
	got, err := n.Apply(ctx, t)
	is.NoErr(err)
	is.NoErr(w.WaitTicket(ticketBound, got.GetNumber()))
	return got.GetNumber()
}

// owner returns the pool's owner and an instance that is not.
func (w *world) owner() (owner, other *fleet.Node) {
	for _, n := range w.Nodes {
		if n.ID == n.Owner(pool) {
			owner = n
		} else {
			other = n
		}
	}
	if owner == nil {
		w.t.Fatal("no instance owns the pool")
	}
	return owner, other
}

// serving returns the runner with the given mark's open stream; there must be exactly one open stream.
func (w *world) serving() int {
	w.t.Helper()
	found := -1
	for i, r := range w.Runners {
		if r.State().OpenStreams > 0 {
			found = i
		}
	}
	if found < 0 {
		w.t.Error("no runner has an open stream")
		return 0
	}
	return found
}

// wireError is the error of an answer.
type wireError struct {
	Kind            core.Kind `json:"kind"`
	Message         string    `json:"message"`
	Remedy          string    `json:"remedy"`
	Run             core.Run  `json:"run"`
	RequestID       string    `json:"request_id"`
	RetryAfterMS    int64     `json:"retry_after_ms"`
	TokensDelivered int64     `json:"tokens_delivered"`
}

// answer is what a client saw of one request.
type answer struct {
	status int
	id     core.RequestID
	text   string
	body   []byte
	finish string
	done   bool // [DONE] or a whole answer
	err    *wireError
	broken error // the connection broke
	gap    time.Duration
	took   time.Duration
	header http.Header
}

func (a answer) String() string {
	n := len(strings.Fields(a.text))
	return fmt.Sprintf("status %d, %d tokens, done %v, error %+v, connection error %v, longest gap %s, took %s", a.status, n, a.done, a.err, a.broken, a.gap, a.took)
}

// notRun reports whether the request was refused with the proof that it was not run.
func (a answer) notRun() bool { return a.broken == nil && a.err != nil && a.err.Run == core.RunNot }

// ask describes one chat request.
type ask struct {
	key     string
	model   string
	mark    string
	output  int
	whole   bool
	timeout time.Duration
	// at calls then once that many tokens have arrived.
	at   int
	then func()
}

var marks = struct {
	sync.Mutex
	n int
}{}

func newMark() string {
	marks.Lock()
	defer marks.Unlock()
	marks.n++
	return "m" + strconv.Itoa(marks.n)
}

func chatBody(a *ask) []byte {
	if a.mark == "" {
		a.mark = newMark()
	}
	model := a.model
	if model == "" {
		model = fleet.Service
	}
	b, _ := json.Marshal(map[string]any{
		"model": model, "stream": !a.whole,
		"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("[output=%d][mark=%s] survey the coating", a.output, a.mark)}},
	}) // plain values always marshal
	return b
}

func post(c *http.Client, address, key, path string, body []byte, header map[string]string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := c.Do(r)
	if err != nil {
		cancel()
		return nil, err
	}
	resp.Body = &bodyWith{resp.Body, cancel}
	return resp, nil
}

type bodyWith struct {
	io.ReadCloser
	cancel func()
}

func (b *bodyWith) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// chat sends a request and reads its answer to the end.
func (w *world) chat(n *fleet.Node, a ask) answer {
	return chat(w.client, n.ClientAddress(), &a)
}

func chat(c *http.Client, address string, a *ask) (out answer) {
	if a.key == "" {
		a.key = fleet.UrgentKey
	}
	header := map[string]string{}
	if a.timeout > 0 {
		header["Snipeshed-Timeout-Ms"] = strconv.FormatInt(a.timeout.Milliseconds(), 10)
	}
	began := time.Now()
	defer func() { out.took = time.Since(began) }()
	resp, err := post(c, address, a.key, "/v1/chat/completions", chatBody(a), header)
	if err != nil {
		return answer{broken: err}
	}
	defer resp.Body.Close()
	out = answer{status: resp.StatusCode, id: core.RequestID(resp.Header.Get("Request-Id")), header: resp.Header}
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		out.readStream(resp.Body, a)
		return out
	}
	out.readWhole(resp.Body)
	return out
}

type chunk struct {
	Error   *wireError
	Choices []struct {
		Delta, Message struct{ Content string }
		FinishReason   string `json:"finish_reason"`
	}
}

func (a *answer) readWhole(body io.Reader) {
	if a.body, a.broken = io.ReadAll(body); a.broken != nil {
		return
	}
	var c chunk
	if err := json.Unmarshal(a.body, &c); err != nil {
		return // an application's answer
	}
	a.err = c.Error
	if len(c.Choices) > 0 {
		a.text, a.finish, a.done = c.Choices[0].Message.Content, c.Choices[0].FinishReason, true
	}
}

func (a *answer) readStream(body io.Reader, q *ask) {
	var text strings.Builder
	defer func() { a.text = text.String() }()
	s := bufio.NewScanner(body)
	s.Buffer(nil, 1<<20)
	last, n := time.Time{}, 0
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.done = true
			continue
		}
		var c chunk
		if a.broken = json.Unmarshal([]byte(data), &c); a.broken != nil {
			return
		}
		if c.Error != nil {
			a.err = c.Error
		}
		if len(c.Choices) == 0 {
			continue
		}
		text.WriteString(c.Choices[0].Delta.Content)
		if c.Choices[0].FinishReason != "" {
			a.finish = c.Choices[0].FinishReason
			continue
		}
		if now := time.Now(); last.IsZero() {
			last = now
		} else {
			a.gap, last = max(a.gap, now.Sub(last)), now
		}
		if n++; q.then != nil && n == q.at {
			q.then()
		}
	}
	a.broken = s.Err()
}

// check verifies the tokens of an answer: each once, in order, of one generation, of this request and mark.
func check(a answer, q ask) (int, error) {
	n, err := runner.CheckText(a.text, a.id, q.mark)
	return int(n), err
}

// honest verifies that an answer is complete or ends with a typed error that says how much was delivered.
func honest(a answer, q ask) error {
	n, err := check(a, q)
	switch {
	case err != nil:
		return err
	case a.broken != nil || a.done == (a.err != nil) || (a.err != nil && a.err.TokensDelivered != int64(n)):
		return fmt.Errorf("answer with %d of %d tokens does not end honestly: %s", n, q.output, a)
	case a.err == nil:
		return complete(a, q)
	}
	return nil
}

// complete verifies that an answer is complete.
func complete(a answer, q ask) error {
	n, err := check(a, q)
	switch {
	case err != nil:
		return err
	case a.status != http.StatusOK || !a.done || a.err != nil || a.broken != nil || n != q.output:
		return fmt.Errorf("answer with %d of %d tokens is not complete: %s", n, q.output, a)
	}
	return nil
}
