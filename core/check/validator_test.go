package check_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"

	"snipeshed/core"
	"snipeshed/core/check"
	"snipeshed/core/state"
	"snipeshed/wire"
)

const digest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

const base = `{"number":"1","items":[
	{"rank":{"name":"urgent","priority":"10","floor_percent":"60"}},
	{"service":{"name":"long","model":"m/1","max_tokens":"100"}},
	{"service":{"name":"bookings"}},
	{"team":{"name":"tallinn","keys":[{"sha256":"` + digest + `","rank":"urgent"}],"services":["long"]}},
	{"endpoint":{"name":"app-1","address":"127.0.0.1:9201","failure_domain":"a","service":"bookings"}}]}`

func parse(t *testing.T, s string) *wire.Ticket {
	t.Helper()
	ticket := &wire.Ticket{}
	is.New(t).NoErr(protojson.Unmarshal([]byte(s), ticket))
	return ticket
}

// Guards against accepting an invalid ticket, such as one that removes a rank or service that another item refers to.
// The base ticket above is valid; each case is a second ticket that changes its configuration.
func TestTicket(t *testing.T) {
	for name, c := range map[string]struct {
		items string
		// want holds the parts of the error; empty means that the ticket is valid.
		want []string
	}{
		"valid change":       {`{"rank":{"name":"batch","floor_percent":"40"}}`, nil},
		"valid removals":     {`{"remove":{"item":"endpoint/app-1"}},{"remove":{"item":"service/bookings"}}`, nil},
		"no items":           {``, []string{"t.json: field items", "at least one"}},
		"empty item":         {`{}`, []string{"items[0]", "one of service, team"}},
		"name":               {`{"rank":{"name":"Very Urgent"}}`, []string{"items[0].rank.name", `"Very Urgent"`, "lower-case"}},
		"name with slash":    {`{"team":{"name":"a/b"}}`, []string{"items[0].team.name"}},
		"host name":          {`{"endpoint":{"name":"e","address":"localhost:1","failure_domain":"a","service":"bookings"}}`, []string{"endpoint.address", "localhost:1", "IP address"}},
		"port 0":             {`{"endpoint":{"name":"e","address":"127.0.0.1:0","failure_domain":"a","service":"bookings"}}`, []string{"endpoint.address"}},
		"address spelling":   {`{"endpoint":{"name":"e","address":"[::ffff:127.0.0.1]:9201","failure_domain":"a","service":"bookings"}}`, []string{"write it as 127.0.0.1:9201"}},
		"address twice":      {`{"endpoint":{"name":"e","address":"127.0.0.1:9201","failure_domain":"a","service":"bookings"}}`, []string{"items[0].endpoint.address", `"app-1" has this one`}},
		"endpoint of model":  {`{"endpoint":{"name":"e","address":"127.0.0.1:1","failure_domain":"a","service":"long"}}`, []string{"endpoint.service", "application service"}},
		"endpoint of both":   {`{"endpoint":{"name":"e","address":"127.0.0.1:1","failure_domain":"a","service":"bookings","wanted":{"model":"m"}}}`, []string{"either"}},
		"endpoint of none":   {`{"endpoint":{"name":"e","address":"127.0.0.1:1","failure_domain":"a"}}`, []string{"either"}},
		"unknown service":    {`{"endpoint":{"name":"e","address":"127.0.0.1:1","failure_domain":"a","service":"x"}}`, []string{"endpoint.service", "no such service"}},
		"key's rank":         {`{"team":{"name":"t","keys":[{"sha256":"` + strings.Repeat("a", 64) + `","rank":"x"}]}}`, []string{"items[0].team.keys[0].rank", "no such rank"}},
		"team's service":     {`{"team":{"name":"t","services":["x"]}}`, []string{"items[0].team.services[0]", "no such service"}},
		"plain key":          {`{"team":{"name":"t","keys":[{"sha256":"secret","rank":"urgent"}]}}`, []string{"keys[0].sha256", "not the key"}},
		"key of two teams":   {`{"team":{"name":"u","keys":[{"sha256":"` + digest + `","rank":"urgent"}]}}`, []string{"items[0].team.keys[0].sha256", `"tallinn" has this one`}},
		"percentage":         {`{"rank":{"name":"batch","floor_percent":"101"}}`, []string{"items[0].rank.floor_percent", `"101"`, "0 to 100"}},
		"sum of floors":      {`{"rank":{"name":"batch","floor_percent":"41"}}`, []string{"floor_percent", "it is 101"}},
		"negative weight":    {`{"team":{"name":"t","weight":"-1"}}`, []string{"items[0].team.weight"}},
		"rank in use":        {`{"remove":{"item":"rank/urgent"}}`, []string{"team/tallinn.keys[0].rank", "no such rank"}},
		"service in use":     {`{"remove":{"item":"service/bookings"}}`, []string{"endpoint/app-1.service"}},
		"removal of nothing": {`{"remove":{"item":"team/x"}}`, []string{"items[0].remove.item", "exists"}},
		"removal malformed":  {`{"remove":{"item":"tallinn"}}`, []string{"items[0].remove.item", "kind and a name"}},
		"item twice":         {`{"rank":{"name":"batch"}},{"rank":{"name":"batch"}}`, []string{"items[1]", "once"}},
		"no output length":   {`{"service":{"name":"s","model":"m"}}`, []string{"max_tokens"}},
		"tokens of an app":   {`{"service":{"name":"s","max_tokens":"1"}}`, []string{"max_tokens"}},
		"protected model":    {`{"service":{"name":"s","model":"m","max_tokens":"1","protected":[{"method":"POST","path_prefix":"/"}]}}`, []string{"protected"}},
		"protected method":   {`{"service":{"name":"s","protected":[{"method":"post","path_prefix":"/"}]}}`, []string{"protected[0].method"}},
		"protected path":     {`{"service":{"name":"s","protected":[{"method":"POST","path_prefix":"x"}]}}`, []string{"protected[0].path_prefix"}},
		"service's kind":     {`{"service":{"name":"long"}}`, []string{"items[0].service.model", "another name"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := state.New()
			first := parse(t, base)
			is.NoErr(check.Validator{Source: "base.json"}.ValidateTicket(s.Config(), first))
			is.NoErr(s.Apply(first))
			err := check.Validator{Source: "t.json"}.ValidateTicket(s.Config(), parse(t, `{"items":[`+c.items+`]}`))
			if c.want == nil {
				is.NoErr(err)
				return
			}
			var e *core.Error
			is.True(errors.As(err, &e))
			is.True(e.Remedy != "" && e.Kind == core.KindBadRequest)
			for _, part := range append(c.want, "t.json") {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q lacks %q", err, part)
				}
			}
		})
	}
}

// Guards against accepting a ticket that exceeds the object API's value limit of 1 MB.
func TestTicketSize(t *testing.T) {
	is := is.New(t)
	big := &wire.Ticket{}
	for i := range 20_000 {
		big.Items = append(big.Items, &wire.Item{Body: &wire.Item_Rank{Rank: &wire.Rank{
			Name: strings.Repeat("r", 50) + string(rune('a'+i%26)),
		}}})
	}
	err := check.Validator{Source: "big.json"}.ValidateTicket(state.New().Config(), big)
	is.True(err != nil && strings.Contains(err.Error(), "split the change"))
}
