package expect_test

import (
	"testing"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/expect"
)

// TestOutput guards against predictions, and thus memory reservations, that follow hints which are far off.
func TestOutput(t *testing.T) {
	is := is.New(t)
	e := expect.New()
	for range 200 {
		e.RecordLength("long", 400)
	}
	e.RecordLength("long", 0) // generations without output are ignored
	plain := e.PredictLength("long", 0, 2000)
	is.True(plain > 400 && plain < 600)
	is.True(e.PredictLength("long", 4000, 2000) < 1500) // a tenfold hint has only limited influence
	is.True(e.PredictLength("long", 40, 2000) > 150)
	is.Equal(e.PredictLength("new", 0, 10), core.Tokens(3))
	is.True(e.PredictLength("long", 9999, 100) <= 100)
}
