package action

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that drops unknown fields when it updates a record of a newer version, and against one that
// runs an action, reports its state or removes its record although the record needs a newer version.
func TestRecordsOfANewerVersion(t *testing.T) {
	for name, c := range map[string]struct {
		field  string
		want   string // of the second call
		lookup string
		runs   int
		swept  int
	}{
		"unknown field, known format":    {`"shown_to":{"a":[1,2.50]}`, "ran b", `"state":"done"`, 1, 1},
		"newer format":                   {`"format":1`, "outcome_unknown/unknown", `"kind":"outcome_unknown"`, 0, 0},
		"newer format and unknown field": {`"format":7,"shown_to":{}`, "outcome_unknown/unknown", `"kind":"outcome_unknown"`, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				cl := newCluster(1, "10.0.0.1:1")
				cl.endpoint.faults = []fault{{effect: refused}}
				cl.call(0, "POST", "/confirm", "k", "b", 10*time.Second) // records not_run
				key := objectKey("swaps", "tallinn", "k")
				o, _ := cl.store.Object(key)
				_, err := cl.store.Put(t.Context(), key, []byte(strings.TrimSuffix(string(o.Value), "}")+","+c.field+"}"), o.Version)
				is.NoErr(err)
				got := cl.call(0, "POST", "/confirm", "k", "b", 10*time.Second)
				is.Equal(got, c.want)
				o, _ = cl.store.Object(key)
				is.True(strings.Contains(string(o.Value), c.field))
				is.True(strings.Contains(cl.lookup("k"), c.lookup))
				a := cl.instances[0]
				a.members, a.retention, a.instance = hashMembers{}, minRetention, "1"
				if (hashMembers{}).Owners(time.Now(), key[:strings.LastIndexByte(key, '/')+2], 1)[0].ID == "2" {
					a.instance = "2"
				}
				time.Sleep(3 * time.Hour)
				n, err := a.sweep(t.Context())
				is.NoErr(err)
				is.Equal(n, c.swept)
				is.NoErr(cl.close(time.Minute))
			})
		})
	}
}
