package gate_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/cold"
	"snipeshed/stand/revs"
)

// TestColdEndpoint guards against calls, retries included, that go to a cold endpoint beyond its limit. The warm endpoint turns all calls
// away, so that each of them would be tried at the cold one.
func TestColdEndpoint(t *testing.T) {
	const calls, coldRate = 60, 4
	for _, path := range []string{"/look/", "/short/stream"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			list := newEndpoints(path == "/look/")
			s := start(t, false, list...)
			s.gate.Cold = cold.New(1, 0, func(core.EndpointID, int) int { return 0 })
			config := fmt.Sprintf(configFormat, 2, false)
			s.news.UpdateConfig([]byte(strings.ReplaceAll(config, `"max_conns":100`, fmt.Sprintf(`"max_conns":100,"cold_per_s":%d`, coldRate))), "test")
			entry := strings.Replace(string(endpointJSON(list[0], "ready")), `"born"`, `"cold_left_ms":60000,"born"`, 1)
			s.news.ChangeEndpoint(revs.At(200), list[0].ID, []byte(entry))
			for _, warm := range list[1:] {
				warm.CallHandler, warm.StreamHandler = turnAway("0"), turnAway("0")
			}
			var g sync.WaitGroup
			for i := range calls {
				g.Go(func() {
					resp := s.send(t.Context(), t, http.MethodPost, path, fmt.Sprint("cold-", i))
					body(resp)
				})
				time.Sleep(20 * time.Millisecond)
			}
			g.Wait()
			times := list[0].RequestTimes()
			for i := coldRate; i < len(times); i++ {
				is.True(times[i].Sub(times[i-coldRate]) >= time.Second)
			}
			is.True(len(times) > 0) // the limit is used
			is.True(s.logged("cold_endpoint"))
		})
	}
}
