package bucket_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core/bucket"
)

// Guards against a bucket that assumes the poll size of the test engine instead of the metered one, and against urgent
// polls that block the others long after they ended.
func TestMeteredPolls(t *testing.T) {
	const rate, seconds = 600, 600
	tests := []struct {
		name   string
		bytes  int64
		urgent int // urgent polls before the measurement
	}{
		{name: "small polls", bytes: 100},
		{name: "large polls", bytes: 1500},
		{name: "after many urgent polls", bytes: 363, urgent: 100_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var used int64
			b := bucket.New(bucket.WithRate(rate), bucket.WithMeter(func() int64 { return used }))
			now := time.Unix(0, 0)
			for range tt.urgent {
				b.BeginUrgent(now)
				used += tt.bytes
				b.EndPoll(now)
			}
			before := used
			for range seconds {
				now = now.Add(time.Second)
				b.StartRound("p")
				for b.TryBegin(now, "p", 1) {
					used += tt.bytes
					b.EndPoll(now)
				}
			}
			perSecond := (used - before) / seconds
			t.Logf("bytes_per_s=%d", perSecond)
			is.True(perSecond <= rate+tt.bytes/seconds)
			is.True(perSecond >= rate*8/10) // at most the bytes of the first minute are lost
		})
	}
}
