package proof

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/broken"
	"snipeshed/stand/edges"
)

// soundAnswer returns an answer that callers may take for a success.
func soundAnswer(r *http.Request) string {
	own := "\r\nSnipeshed-Attempt-Id: " + r.Header.Get("Snipeshed-Attempt-Id") + "\r\nSnipeshed-Server-Seal: seal\r\n"
	return strings.Replace(broken.Chunked(http.StatusOK, "id: 1\ndata: a\n\n"), "\r\n", own, 1)
}

// TestMalformedAnswers guards against an instance, as a process, that passes on an answer whose head HTTP does not allow.
func TestMalformedAnswers(t *testing.T) {
	is := is.New(t)
	var spoil atomic.Pointer[broken.Head]
	server, err := broken.Start(func(r *http.Request) string {
		if h := spoil.Load(); h != nil {
			return h.Spoil(soundAnswer(r))
		}
		return soundAnswer(r)
	})
	is.NoErr(err)
	defer server.Close()
	instance := startBefore(t, server)
	for _, path := range []string{"/look/1", "/book/1", "/draft/1"} {
		status, seal, body := callInstance(t, instance, path, "x")
		is.Equal(status, http.StatusOK) // a sound answer is passed on
		is.Equal(seal, "seal")
		is.Equal(body, "id: 1\ndata: a\n\n")
	}
	for _, head := range append(broken.Heads(), broken.Folds()...) {
		for _, path := range []string{"/look/1", "/book/1", "/draft/1"} {
			spoil.Store(&head)
			before := server.Requests()
			status, seal, body := callInstance(t, instance, path, "x")
			if status != http.StatusBadGateway || seal != "" || !strings.HasPrefix(body, "outcome unknown: ") || server.Requests() != before+1 {
				t.Errorf("%s, %s: status %d, digest %q, %d requests, body %q", head.Name, path, status, seal, server.Requests()-before, body)
			}
		}
	}
}

// startBefore starts an instance, as a process, whose only endpoint is the server.
func startBefore(t *testing.T, server *broken.Server) *edges.Instance {
	t.Helper()
	is := is.New(t)
	f, err := edges.Start(t.TempDir())
	is.NoErr(err)
	t.Cleanup(f.Close)
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 4000, "latency_goal_ms": 1000,
			"service": "app", "max_attempts": 2,
		}
	}
	f.Store.Put("config", "main", map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "app", "max_conns": 500}},
		"routes": []any{route("look", "idempotent"), route("book", "non_idempotent"), route("draft", "streaming")},
	})
	f.Store.Put("servers", "app-1", map[string]any{
		"service": "app", "address": server.Address(), "zone": "d1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq": 1, "born": 1,
	})
	is.NoErr(f.AddInstances(1, nil))
	return f.Instances[0]
}

// callInstance sends a call and returns the status, the digest and the body of its answer.
func callInstance(t *testing.T, in *edges.Instance, path, body string) (int, string, string) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+in.ClientAddress+path, strings.NewReader(body))
	is.NoErr(err)
	req.Host = "a.example"
	req.Header.Set("Snipeshed-Attempt-Id", "r1")
	req.Header.Set("Snipeshed-Deadline-Ms", "4000")
	client := &http.Client{Timeout: 10 * time.Second}
	resp, err := client.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp.StatusCode, resp.Header.Get("Snipeshed-Server-Seal"), string(b)
}
