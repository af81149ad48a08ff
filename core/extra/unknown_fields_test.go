package extra_test

import (
	"testing"

	"github.com/matryer/is"

	"snipeshed/core/extra"
)

type known struct {
	Name  string `json:"name"`
	Count int    `json:"count,omitempty"`
}

// Guards against an update that drops or changes a newer version's fields, or restores a field that it has cleared.
func TestUpdateKeepsOtherFields(t *testing.T) {
	for name, c := range map[string]struct{ before, after string }{
		"none":                {`{"name":"a","count":1}`, `{"name":"b"}`},
		"values of all kinds": {`{"name":"a","x":[1,{"y":null}],"big":12345678901234567890}`, `{"big":12345678901234567890,"name":"b","x":[1,{"y":null}]}`},
		"cleared field":       {`{"count":1,"x":0}`, `{"name":"b","x":0}`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var k known
			fields, err := extra.Parse([]byte(c.before), &k)
			is.NoErr(err)
			k.Name, k.Count = "b", 0
			got, err := fields.Marshal(k)
			is.NoErr(err)
			is.Equal(string(got), c.after)
		})
	}
	_, err := extra.Parse([]byte("[]"), &known{})
	is.New(t).True(err != nil)
}
