package gate_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestSendsInLog guards against a log line that counts one send too many after a call failed at each endpoint.
func TestSendsInLog(t *testing.T) {
	is := is.New(t)
	apps := newApps(2)
	for _, e := range apps {
		e.CallHandler = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	}
	s := start(t, false, apps...)
	resp := s.send(t.Context(), t, http.MethodPost, "/look/1", "r1")
	is.Equal(resp.StatusCode, http.StatusInternalServerError)
	_ = body(resp)
	eventually(t, "the answer is logged", func() bool { return s.logged("msg=answered") })
	is.True(s.logged("sends=2 status=500"))
}
