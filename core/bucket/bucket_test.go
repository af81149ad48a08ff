package bucket_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core/bucket"
)

// Guards against a ration that takes polls for as large as the stand-in's, and against polls that could not wait and
// hold back the others for long after they ended.
func TestMeteredPolls(t *testing.T) {
	const rate, seconds = 600, 600
	tests := []struct {
		name   string
		bytes  int64
		urgent int // polls that cannot wait, before the count
	}{
		{name: "small polls", bytes: 100},
		{name: "large polls", bytes: 1500},
		{name: "after many that could not wait", bytes: 363, urgent: 100_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var used int64
			r := bucket.New(bucket.WithRate(rate), bucket.WithMeter(func() int64 { return used }))
			now := time.Unix(0, 0)
			for range tt.urgent {
				r.Begin(now)
				used += tt.bytes
				r.End(now)
			}
			before := used
			for range seconds {
				now = now.Add(time.Second)
				r.Round("p")
				for r.Grant(now, "p", 1) {
					used += tt.bytes
					r.End(now)
				}
			}
			perSecond := (used - before) / seconds
			t.Logf("bytes_per_s=%d", perSecond)
			is.True(perSecond <= rate+tt.bytes/seconds)
			is.True(perSecond >= rate*8/10) // at most the first minute is lost
		})
	}
}
