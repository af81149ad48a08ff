package cmds_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protowire"

	"snipeshed/cmds"
	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/io/link"
	"snipeshed/io/oper"
	"snipeshed/io/store"
	"snipeshed/stand/objs"
	"snipeshed/wire"
)

// testInstance is the operators' API of one instance that uses a stand-in of the object API.
type testInstance struct {
	*objs.Platform
	address string
	// lag lists how many tickets the only other instance is behind in each of its digests; the last value repeats.
	lag   []uint64
	state *state.State
}

func (ti *testInstance) Instances() []*wire.Instance {
	return []*wire.Instance{{Id: "other", FailureDomain: "b", State: "live"}}
}

func (ti *testInstance) Digest(context.Context, *wire.Instance) (*wire.Digest, error) {
	lag := ti.lag[0]
	if len(ti.lag) > 1 {
		ti.lag = ti.lag[1:]
	}
	return &wire.Digest{Ticket: uint64(ti.state.Number()) - lag}, nil
}

func newTestInstance(t *testing.T) *testInstance {
	t.Helper()
	ti := &testInstance{Platform: objs.New(), lag: []uint64{0}, state: state.New()}
	is.New(t).NoErr(ti.Start())
	t.Cleanup(func() { is.New(t).NoErr(ti.Close()) })
	log := logrus.New()
	log.SetOutput(io.Discard)
	shared := core.NewCommon(logrus.NewEntry(log))
	cfg := &conf.Settings{Instance: "one", FailureDomain: "a", PlatformUrl: ti.URL()}
	conf.SetDefaults(cfg)
	st := store.New(shared, cfg, link.New(cfg))
	t.Cleanup(st.Close)
	srv := httptest.NewServer(oper.New(shared, cfg, st, ti.state, oper.WithFleet(ti)).Handler())
	t.Cleanup(srv.Close)
	ti.address = strings.TrimPrefix(srv.URL, "http://")
	return ti
}

// run runs a command line and returns what it printed; "FILE" in it is a file with the given content.
func (ti *testInstance) run(t *testing.T, line, file string) (code int, stdout, stderr string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ticket.json")
	is.New(t).NoErr(os.WriteFile(path, []byte(file), 0o600))
	t.Setenv("SNIPESHED_ADDRESS", ti.address)
	t.Setenv("USER", "piret")
	var out, errs bytes.Buffer
	args := strings.Fields(strings.ReplaceAll("snipeshed "+line, "FILE", path))
	code = cmds.Main(args, &out, &errs)
	return code, out.String(), errs.String()
}

const (
	urgent = `{"items":[{"rank":{"name":"urgent","priority":"10"}}]}`
	batch  = `{"id":"b","base":"0","author":"kenji","items":[{"rank":{"name":"batch"}}]}`
	raised = `{"base":"0","items":[{"rank":{"name":"urgent","priority":"20"}}]}`
	edited = `{"id":"e","base":"2","items":[{"rank":{"name":"urgent","priority":"20"}}]}`
)

// Guards against commands with wrong output, and against errors without a remedy. The commands run in order against one log.
func TestCommands(t *testing.T) {
	ti := newTestInstance(t)
	ti.lag = []uint64{1, 0}
	for _, c := range []struct {
		name, line, file string
		// want are parts of stdout, or of stderr if the command must fail.
		want []string
		fail bool
	}{
		{"apply and wait", "ticket apply --wait FILE", urgent, []string{"ticket 1 accepted, id ", "ticket 1 in force at one (a) after 0.0 s", "in force at other (b) after 0.5 s", "at all 2 instances that one knows"}, false},
		{"lost answer", "ticket apply FILE", batch, []string{"ticket 2 accepted, id b"}, false},
		{"retry", "ticket apply FILE", batch, []string{"ticket 2 accepted, id b"}, false},
		{"conflict", "ticket apply --base 0 FILE", raised, []string{"snipeshed: conflict: ticket 1 of piret changed rank/urgent after the base 0", "ticket show 1"}, true},
		{"unknown field", "ticket apply FILE", `{"itemz":[]}`, []string{"ticket.json is not a valid Ticket", `unknown field "itemz"`}, true},
		{"number given", "ticket apply FILE", `{"number":"3"}`, []string{"leave them out"}, true},
		{"format given", "ticket apply FILE", `{"format":1}`, []string{"leave them out"}, true},
		{"bad reference", "ticket apply FILE", `{"items":[{"team":{"name":"t","services":["x"]}}]}`, []string{"items[0].team.services[0]", `"x"`, "no such service"}, true},
		{"edit", "ticket apply FILE", edited, []string{"ticket 3 accepted"}, false},
		{"list", "ticket list", "", []string{"NUMBER", "1 ", "piret", "rank/urgent", "kenji"}, false},
		{"list after", "ticket list --after 1 --limit 1", "", []string{"2 ", "rank/batch"}, false},
		{"show ticket", "ticket show 2", "", []string{`"id": "b"`, `"accepted_unix_ms"`}, false},
		{"show configuration", "ticket show", "", []string{`"number": "3"`, `"set_by": "2"`}, false},
		{"draft", "ticket show --draft rank/batch", "", []string{`"base": "3"`, `"name": "batch"`}, false},
		{"draft of nothing", "ticket show --draft rank/x", "", []string{`"rank/x" does not exist`}, true},
		{"missing ticket", "ticket show 9", "", []string{"not_found: ticket 9", "ticket list"}, true},
		{"compare", "ticket compare 1", "", []string{"rank/batch, set by ticket 2", `+ {"rank":{"name":"batch"}}`, `- {"rank":{"name":"urgent","priority":"10"}}`}, false},
		{"compare equal", "ticket compare 3 3", "", []string{"no differences"}, false},
		{"status", "status", "", []string{"instance one, ticket 3, store up", "other     b       live   3"}, false},
		{"status as JSON", "status --json", "", []string{`"store_up": true`}, false},
		{"no instance", "status --address 127.0.0.1:1", "", []string{"127.0.0.1:1 did not answer", "check --address"}, true},
		{"wrong address", "status --address here", "", []string{`"here"`, "127.0.0.1:8082"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.name == "lost answer" {
				ti.LoseAnswers(1, state.TicketPrefix)
			}
			code, stdout, stderr := ti.run(t, c.line, c.file)
			got := stdout
			if c.fail {
				got = stderr
				is.New(t).Equal(strings.Count(stderr, "\n"), 1) // one line
			}
			if (code != 0) != c.fail {
				t.Fatalf("exit code %d, stdout %q, stderr %q", code, stdout, stderr)
			}
			for _, part := range c.want {
				if !strings.Contains(got, part) {
					t.Errorf("output lacks %q:\n%s", part, got)
				}
			}
		})
	}
}

// Guards against --wait succeeding although an instance lags, and against reporting a ticket as accepted during an outage.
func TestFailures(t *testing.T) {
	is, ti := is.New(t), newTestInstance(t)
	ti.lag = []uint64{1}
	code, _, stderr := ti.run(t, "ticket apply --wait --wait-timeout 100ms FILE", urgent)
	is.Equal(code, 1)
	is.True(strings.Contains(stderr, "ticket 1 is accepted, but not seen in force at other (at 0)"))
	ti.SetOutage(objs.OutageRefuse)
	code, _, stderr = ti.run(t, "ticket apply FILE", `{"id":"x","base":"1","items":[{"rank":{"name":"batch"}}]}`)
	is.Equal(code, 1)
	is.True(strings.Contains(stderr, "store_down: this call wrote no ticket"))
	ti.SetOutage(objs.OutageNone)
	is.Equal(len(ti.List(state.TicketPrefix)), 1)
}

// Guards against invalid examples, and against demo keys in their README that no ticket contains.
func TestExamples(t *testing.T) {
	is, ti := is.New(t), &testInstance{}
	readme, err := os.ReadFile("../examples/README.md")
	is.NoErr(err)
	keys := regexp.MustCompile("`(demo-[a-z-]+)`").FindAllStringSubmatch(string(readme), -1)
	tickets := ""
	for _, name := range []string{"kodusvahetus", "hashimoto"} {
		path := fmt.Sprintf("../examples/%s.json", name)
		code, _, stderr := ti.run(t, "check --ticket "+path, "")
		is.Equal(stderr, "")
		is.Equal(code, 0)
		b, err := os.ReadFile(path)
		is.NoErr(err)
		tickets += string(b)
	}
	is.Equal(strings.Count(tickets, `"sha256"`), len(keys))
	for _, key := range keys {
		sum := sha256.Sum256([]byte(key[1]))
		is.True(strings.Contains(tickets, hex.EncodeToString(sum[:])))
	}
}

// Guards against lists and errors that do not mention deleted tickets.
func TestDeletedTickets(t *testing.T) {
	is, ti := is.New(t), newTestInstance(t)
	is.NoErr(ti.state.Load(&wire.Snapshot{Number: 5})) // tickets up to 5 are no longer in the log
	code, _, stderr := ti.run(t, "ticket apply FILE", urgent)
	is.Equal([]any{code, stderr}, []any{0, ""})
	_, stdout, _ := ti.run(t, "ticket list --after 2", "")
	is.True(strings.Contains(stdout, "tickets 3 to 5 are no longer kept\n"))
	_, stdout, _ = ti.run(t, "ticket list --after 5", "")
	is.True(!strings.Contains(stdout, "no longer kept"))
	code, _, stderr = ti.run(t, "ticket show 3", "")
	is.True(code != 0 && strings.Contains(stderr, "ticket 3 was accepted, but is no longer kept") && strings.Contains(stderr, "the oldest kept one is 6"))
}

// newerInstance is an instance of a newer version; its items have fields that this version does not know.
type newerInstance struct{ wire.Operator }

func (newerInstance) Show(context.Context, *wire.ShowRequest) (*wire.ShowResponse, error) {
	r := &wire.Rank{Name: "urgent"}
	r.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 1000, protowire.VarintType), 7))
	item := &wire.Item{Body: &wire.Item_Rank{Rank: r}}
	return &wire.ShowResponse{Configuration: &wire.Snapshot{Number: 1, Entries: []*wire.Entry{{Item: item, SetBy: 1}}}}, nil
}

// Guards against a draft by an older command that would remove fields which a newer ticket set.
func TestDraftOfANewerItem(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(wire.NewOperatorServer(newerInstance{}))
	defer srv.Close()
	ti := &testInstance{address: strings.TrimPrefix(srv.URL, "http://")}
	code, out, errs := ti.run(t, "ticket show --draft rank/urgent", "")
	is.True(code != 0)
	is.Equal(out, "")
	is.True(strings.Contains(errs, "fields that this version of snipeshed does not know"))
}
