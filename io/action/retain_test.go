package action

import (
	"fmt"
	"hash/crc32"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
)

// hashMembers assigns resources to instances "1" and "2" by hash.
type hashMembers struct{ core.Members }

func (hashMembers) Owners(_ time.Time, resource string, _ int) []core.Peer {
	id := "1"
	if crc32.ChecksumIEEE([]byte(resource))%2 == 1 {
		id = "2"
	}
	return []core.Peer{{ID: core.InstanceID(id)}}
}

// Guards against records that are removed too early or never, and against instances that remove each other's records.
func TestRetention(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		left  int // of 60 old and 10 new records
	}{
		{name: "before the retention time", after: 23 * time.Hour, left: 70},
		{name: "after the retention time and a sweep by both instances", after: 28 * time.Hour, left: 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				cl := newCluster(2, "10.0.0.1:1")
				for i := range cl.instances {
					cl.instances[i] = New(quietShared(), cl.store, testConfig("10.0.0.1:1"), WithClient(cl.instances[0].client),
						WithInstance(cl.instances[i].instance), WithRetention(hashMembers{}, 24*time.Hour))
				}
				for i := range 60 {
					is.Equal(cl.call(i%2, "POST", "/confirm", fmt.Sprintf("old%d", i), "b", time.Minute), ran)
				}
				time.Sleep(tt.after - time.Hour)
				for i := range 10 {
					is.Equal(cl.call(i%2, "POST", "/confirm", fmt.Sprintf("new%d", i), "b", time.Minute), ran)
				}
				time.Sleep(time.Hour)
				is.Equal(len(cl.store.Objects("")), tt.left)
				is.NoErr(cl.close(time.Second))
			})
		})
	}
}

// Guards against a sweep that skips records assigned to its instance or removes those of another instance.
func TestSweepPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		cl := newCluster(2, "10.0.0.1:1")
		for i := range 60 {
			cl.call(0, "POST", "/confirm", fmt.Sprintf("k%d", i), "b", time.Minute)
		}
		for _, a := range cl.instances {
			a.members, a.retention = hashMembers{}, minRetention
		}
		time.Sleep(3 * time.Hour)
		first, err := cl.instances[0].sweep(t.Context())
		is.NoErr(err)
		is.True(first > 0 && first < 60)
		for _, o := range cl.store.Objects("") {
			part := o.Key[:strings.LastIndexByte(o.Key, '/')+2]
			is.Equal(hashMembers{}.Owners(time.Now(), part, 1)[0].ID, core.InstanceID("2"))
		}
		again, err := cl.instances[0].sweep(t.Context())
		is.NoErr(err)
		is.Equal(again, 0)
		second, err := cl.instances[1].sweep(t.Context())
		is.NoErr(err)
		is.Equal(first+second, 60)
		is.NoErr(cl.close(time.Second))
	})
}
