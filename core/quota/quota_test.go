package quota_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"snipeshed/core"
	"snipeshed/core/quota"
)

// TestAcquire guards against one holder that uses up the limit, or that is rejected although its share is free.
func TestAcquire(t *testing.T) {
	a, b, urgent := quota.Holder{Team: "a", Rank: "routine"}, quota.Holder{Team: "b", Rank: "routine"}, quota.Holder{Team: "a", Rank: "urgent"}
	type step struct {
		holder    quota.Holder
		n, weight int64
		above     int
		most      int // successful acquisitions before the first rejection
	}
	for _, tt := range []struct {
		name  string
		steps []step
	}{
		{"one team gets half", []step{{holder: a, n: 1, most: 50}}},
		{"a second team gets half of the remaining units", []step{{holder: a, n: 1, most: 50}, {holder: b, n: 1, most: 25}}},
		{"weight 3 gets three quarters", []step{{holder: a, n: 1, weight: 3, most: 75}}},
		{"a lower rank leaves its reserve to the rank above", []step{{holder: a, n: 1, weight: 1000, above: 1, most: 92}, {holder: urgent, n: 1, most: 4}}},
		{"ranks of one team are counted apart", []step{{holder: a, n: 1, most: 50}, {holder: urgent, n: 1, most: 25}}},
		{"large units", []step{{holder: a, n: 40, most: 1}, {holder: b, n: 60, most: 1}, {holder: urgent, n: 1, most: 0}}},
		{"units above the limit", []step{{holder: a, n: 101, most: 0}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := quota.New(100)
			for _, s := range tt.steps {
				n := 0
				for q.Acquire(s.holder, s.n, s.weight, s.above) {
					n++
				}
				is.Equal(n, s.most)
			}
			is.True(q.Used() <= 100)
		})
	}
}

// TestAcquireForced guards against admitted requests that are rejected, or that do not count against later requests.
func TestAcquireForced(t *testing.T) {
	is := is.New(t)
	q, h := quota.New(10), quota.Holder{Team: "a"}
	q.AcquireForced(h, 12)
	is.True(!q.Acquire(h, 1, 1, 0))
	is.True(q.Acquire(h, 0, 1, 0)) // a request without a body
	q.Release(h, 12)
	is.Equal(q.Used(), int64(0))
	is.True(q.Acquire(h, 5, 1, 0))
}

// TestNewcomer guards against holders that take the last free units although they hold some, and against a holder
// without units that is rejected although some are free.
func TestNewcomer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(8, 500).Draw(t, "limit")
		teams := rapid.Int64Range(1, 30).Draw(t, "teams")
		q := quota.New(limit)
		held := map[quota.Holder]int64{}
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			h := quota.Holder{Team: core.TeamName(rune('a' + rapid.Int64Range(0, teams-1).Draw(t, "team")))}
			free := limit - q.Used()
			switch {
			case held[h] > 0 && rapid.IntRange(0, 3).Draw(t, "leave") == 0:
				q.Release(h, 1)
				held[h]--
			case q.Acquire(h, 1, 1, 0):
				held[h]++
				if held[h] > free {
					t.Fatalf("team %q has %d units and took one of the last %d", h.Team, held[h], free)
				}
			case held[h] == 0 && free > 0:
				t.Fatalf("team %q has nothing and is refused one of %d free units", h.Team, free)
			}
		}
	})
}
