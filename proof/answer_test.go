package proof

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/tmaxmax/go-sse"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/stand/batch"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/runner"
)

// TestAnswers guards against incomplete answers from the instance that owns the pool and from those that do not, and against
// answers that third-party client libraries cannot parse.
func TestAnswers(t *testing.T) {
	t.Parallel()
	tf := startFleet(t)
	for _, n := range tf.Nodes {
		for _, nonStreaming := range []bool{false, true} {
			q := chatRequest{OutputTokens: 60, Mark: caller.NewMark(), NonStreaming: nonStreaming}
			a := tf.chat(n, q)
			if err := a.CheckComplete(q); err != nil {
				t.Errorf("%s: %v", n.ID, err)
			}
			if a.FinishReason != "stop" {
				t.Errorf("%s: finish reason %q", n.ID, a.FinishReason)
			}
		}
	}
	t.Run("openai-go", func(t *testing.T) {
		is := is.New(t)
		for _, n := range tf.Nodes {
			c := openai.NewClient(option.WithBaseURL("http://"+n.ClientAddress()+"/v1"), option.WithAPIKey(fleet.UrgentKey), option.WithMaxRetries(0))
			params := openai.ChatCompletionNewParams{
				Model: fleet.Service, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("[output=40][mark=lib] survey")},
			}
			got, err := c.Chat.Completions.New(t.Context(), params)
			is.NoErr(err)
			tokens, err := runner.CheckText(got.Choices[0].Message.Content, "", "lib")
			is.NoErr(err)
			is.Equal(tokens, core.Tokens(40))
			is.Equal(got.Usage.CompletionTokens, int64(40))

			var text strings.Builder
			stream := c.Chat.Completions.NewStreaming(t.Context(), params)
			for stream.Next() {
				if cs := stream.Current().Choices; len(cs) > 0 {
					text.WriteString(cs[0].Delta.Content)
				}
			}
			is.NoErr(stream.Err())
			tokens, err = runner.CheckText(text.String(), "", "lib")
			is.NoErr(err)
			is.Equal(tokens, core.Tokens(40))
			list, err := c.Models.List(t.Context())
			is.NoErr(err)
			is.Equal(len(list.Data), 1)
			is.Equal(list.Data[0].ID, fleet.Service)
		}
	})
	t.Run("go-sse", func(t *testing.T) {
		is := is.New(t)
		q := chatRequest{OutputTokens: 40, Mark: caller.NewMark()}
		resp, err := caller.Post(tf.client, tf.Nodes[1].ClientAddress(), fleet.UrgentKey, "/v1/chat/completions", q.Body(), nil)
		is.NoErr(err)
		defer resp.Body.Close()
		var text strings.Builder
		last := ""
		for ev, err := range sse.Read(resp.Body, nil) {
			is.NoErr(err)
			is.Equal(ev.Type, "")
			if last = ev.Data; last == "[DONE]" {
				continue
			}
			var c struct {
				Choices []struct{ Delta struct{ Content string } }
			}
			is.NoErr(json.Unmarshal([]byte(ev.Data), &c))
			text.WriteString(c.Choices[0].Delta.Content)
		}
		tokens, err := runner.CheckText(text.String(), core.RequestID(resp.Header.Get("Request-Id")), q.Mark)
		is.NoErr(err)
		is.Equal(tokens, core.Tokens(40))
		is.Equal(last, "[DONE]")
	})
}

// TestRefusals guards against refusals that lack the right kind, status or remedy, or the statement that nothing ran.
func TestRefusals(t *testing.T) {
	t.Parallel()
	tf := startFleet(t, fleet.WithSettings(func(s *conf.Settings) { s.MaxBodyBytes = 2048 }))
	ok := `{"model":"` + fleet.Service + `","messages":[{"role":"user","content":"[output=3] go"}]}`
	tests := []struct {
		name, key, path, body string
		header                map[string]string
		status                int
		kind                  core.ErrorKind
	}{
		{name: "bad key", key: "none", body: ok, status: 401, kind: core.KindBadCredential},
		{name: "malformed body", body: `{"model":`, status: 400, kind: core.KindBadRequest},
		{name: "no messages", body: `{"model":"` + fleet.Service + `"}`, status: 400, kind: core.KindBadRequest},
		{name: "malformed timeout", body: ok, header: map[string]string{"Snipeshed-Timeout-Ms": "soon"}, status: 400, kind: core.KindBadRequest},
		{name: "body over the limit", body: ok + strings.Repeat(" ", 4096), status: 413, kind: core.KindBodyTooLarge},
		{name: "unknown model", body: strings.Replace(ok, fleet.Service, "none", 1), status: 404, kind: core.KindUnknownModel},
		{name: "unknown path", path: "/v2/chat", body: ok, status: 404, kind: core.KindNotFound},
		{name: "unknown service", path: "/services/none/orders", body: "{}", status: 404, kind: core.KindUnknownService},
		{name: "protected action without a key", path: "/services/" + fleet.AppService + "/orders/a", body: "{}", status: 400, kind: core.KindBadRequest},
	}
	before := tf.StartedGenerations()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			key, path := tt.key, tt.path
			if key == "" {
				key = fleet.UrgentKey
			}
			if path == "" {
				path = "/v1/chat/completions"
			}
			for _, n := range tf.Nodes {
				resp, err := caller.Post(tf.client, n.ClientAddress(), key, path, []byte(tt.body), tt.header)
				is.NoErr(err)
				a := caller.ReadNonStreaming(resp)
				resp.Body.Close()
				is.Equal(a.Status, tt.status)
				is.True(a.Err != nil)
				is.Equal(a.Err.Kind, tt.kind)
				is.Equal(a.Err.Run, core.NotExecuted)
				is.True(a.Err.Message != "" && a.Err.Remedy != "" && a.Err.RequestID != "")
			}
		})
	}
	if tf.StartedGenerations() != before || tf.AppRunners[0].Counts().Total != 0 {
		t.Error("a refused request reached a runner or the application")
	}
}

// TestQueueRefusals guards against calls that wait past their deadline or without limit, and against not_run reported for a
// call that an engine started.
func TestQueueRefusals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tf := startFleet(t, fleet.WithRunnerOptions(runner.WithBatch(batch.Config{KVCapacity: 1500}))) // few answers fit at once
	_, entry := tf.ownerAndOther()
	l := startLoad(t, caller.FixedAddress(tf.client, entry.ClientAddress()), caller.WithClients(60), caller.WithMinOutputTokens(400))
	time.Sleep(time.Second)
	started := tf.StartedGenerations()
	queued := tf.chat(entry, chatRequest{Key: fleet.BackgroundKey, OutputTokens: 3, Timeout: 400 * time.Millisecond})
	t.Logf("deadline while queued: %s", queued)
	is.True(queued.NotRun())
	is.True(queued.Err.Kind == core.KindDeadline || queued.Err.Kind == core.KindOverloaded)
	is.True(queued.Duration < 400*time.Millisecond+resumeSlack)
	is.Equal(tf.StartsOf(core.RequestID(queued.Err.RequestID)), 0)
	urgent := tf.chat(entry, chatRequest{OutputTokens: 3, Timeout: 10 * time.Second})
	t.Logf("overload: %s", urgent)
	if urgent.Err != nil {
		is.Equal(urgent.Err.Kind, core.KindOverloaded)
		is.Equal(urgent.Status, http.StatusTooManyRequests)
		is.Equal(urgent.Err.Run, core.NotExecuted)
		is.True(urgent.Err.RetryAfterMS > 0)
		is.Equal(tf.StartsOf(core.RequestID(urgent.Err.RequestID)), 0)
	}
	kinds := map[core.ErrorKind]int{}
	for _, a := range l.Results() {
		if a.Err == nil {
			continue
		}
		kinds[a.Err.Kind]++
		if a.NotRun() && tf.StartsOf(core.RequestID(a.Err.RequestID)) > 0 {
			t.Errorf("reported as not_run, but an engine started it: %s", a)
		}
	}
	t.Logf("%d started, refusals of the load %v", started, kinds)
	is.True(kinds[core.KindOverloaded] > 0)
	for _, r := range tf.Runners {
		r.Reset() // ends the long answers
	}
	l.Stop()
}
