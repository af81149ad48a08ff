package expect_test

import (
	"testing"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/expect"
)

// TestPredictLength guards against predictions, and thus memory reservations, that follow hints which are far off.
func TestPredictLength(t *testing.T) {
	is := is.New(t)
	p := expect.New()
	for range 200 {
		p.RecordLength("long", 400)
	}
	p.RecordLength("long", 0) // generations without output are ignored
	plain := p.PredictLength("long", 0, 2000)
	is.True(plain > 400 && plain < 600)
	is.True(p.PredictLength("long", 4000, 2000) < 1500) // a tenfold hint has only limited influence
	is.True(p.PredictLength("long", 40, 2000) > 150)
	is.Equal(p.PredictLength("new", 0, 10), core.Tokens(3))
	is.True(p.PredictLength("long", 9999, 100) <= 100)
}
