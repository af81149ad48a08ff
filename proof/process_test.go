package proof

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"

	"snipeshed/core/member"
	"snipeshed/stand/apprun"
	"snipeshed/stand/fleet"
	"snipeshed/stand/objs"
)

// procs are the processes of one test; it ends them by their ids.
type procs struct {
	t   *testing.T
	dir string
}

// run starts a process and returns it with the rest of the first line of its output after the last space.
func (p *procs) run(name string, line bool, args ...string) (*exec.Cmd, string) {
	p.t.Helper()
	cmd := exec.Command(filepath.Join(p.dir, name), args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT) // a stopped process would not end; fails when it has ended
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	if !line {
		return cmd, ""
	}
	s, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		p.t.Fatalf("%s did not start: %v", name, err)
	}
	return cmd, strings.TrimPrefix(strings.TrimSpace(s[strings.LastIndex(s, " "):]), "http://")
}

// freePorts returns addresses that were free a moment ago.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

func getJSON(t *testing.T, url string, v any) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		t.Fatal(err)
	}
}

// proc is one instance as a process.
type proc struct {
	*exec.Cmd
	client, peer, operator string
}

func (p *proc) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + p.client + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// fleet builds the binaries and starts a platform, three model runners, an application and three instances that are ready.
func (p *procs) fleet(runner ...string) (ins []*proc, runners []string, application string) {
	t, is := p.t, is.New(p.t)
	build := exec.Command("go", "build", "-o", p.dir+"/", "snipeshed/cmd/snipeshed", "snipeshed/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	_, platform := p.run("standin", true, "platform", "--list-lag", "200ms")
	for range 3 {
		_, addr := p.run("standin", true, append([]string{"runner", "--load-time", "0s"}, runner...)...)
		runners = append(runners, addr)
	}
	_, application = p.run("standin", true, "app", "--delay", "1500ms")

	ports := freePorts(t, 9)
	for i := range 3 {
		in := &proc{client: ports[3*i], peer: ports[3*i+1], operator: ports[3*i+2]}
		file := filepath.Join(p.dir, fmt.Sprintf("instance-%d.json", i))
		settings := fmt.Sprintf(`{"instance": "instance-%d", "failure_domain": %q, "platform_url": "http://%s",
			"client_address": %q, "peer_address": %q, "operator_address": %q}`, i, fleet.Domains[i], platform, in.client, in.peer, in.operator)
		is.NoErr(os.WriteFile(file, []byte(settings), 0o600))
		in.Cmd, _ = p.run("snipeshed", false, "serve", "--settings", file)
		body, err := json.Marshal(objs.Instance{
			ID: fmt.Sprintf("instance-%d", i), Address: in.peer, FailureDomain: fleet.Domains[i], Kind: member.KindInstance, State: member.StateLive,
		})
		is.NoErr(err)
		resp, err := http.Post("http://"+platform+"/admin/instances", "application/json", bytes.NewReader(body))
		is.NoErr(err)
		resp.Body.Close()
		ins = append(ins, in)
	}
	for _, in := range ins {
		is.NoErr(fleet.Wait(startLimit, "instance ready", in.ready))
	}
	return ins, runners, application
}

// command runs the command line.
func (p *procs) command(args ...string) string {
	out, err := exec.Command(filepath.Join(p.dir, "snipeshed"), args...).CombinedOutput()
	if err != nil {
		p.t.Errorf("snipeshed %v: %v: %s", args, err, out)
	}
	return string(out)
}

// configure applies the first ticket through the command line, once all instances know each other, and waits until each answers.
func (p *procs) configure(c *http.Client, ins []*proc, runners []string, application string) string {
	is := is.New(p.t)
	ticket, err := protojson.Marshal(fleet.NewTicket(runners, []string{application}))
	is.NoErr(err)
	file := filepath.Join(p.dir, "ticket.json")
	is.NoErr(os.WriteFile(file, ticket, 0o600))
	is.NoErr(fleet.Wait(startLimit, "every instance knows the others", func() bool {
		for _, in := range ins {
			if s := p.command("status", "--address", in.operator); !strings.Contains(s, "instance-0") || !strings.Contains(s, "instance-1") || !strings.Contains(s, "instance-2") {
				return false
			}
		}
		return true
	}))
	out := p.command("ticket", "apply", "--wait", "--wait-timeout", "10s", "--address", ins[1].operator, file)
	is.NoErr(fleet.Wait(startLimit, "first answers", func() bool {
		for _, in := range ins {
			q := ask{output: 3, mark: newMark()}
			if complete(chat(c, in.client, &q), q) != nil {
				return false
			}
		}
		return true
	}))
	return out
}

// TestEntryPaused guards against streams that lose or repeat tokens, or end without an honest error, when the process
// that is their entry is paused and goes on: an entry that owns the pool and one that does not.
func TestEntryPaused(t *testing.T) {
	is := is.New(t)
	p := &procs{t: t, dir: t.TempDir()}
	ins, runners, application := p.fleet("--keep", "2s")
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	p.configure(c, ins, runners, application)
	const pause = 5 * time.Second
	for _, entry := range []*proc{ins[0], ins[2]} { // by the hash, instance 2 owns the pool
		var calls, reading sync.WaitGroup
		asks, answers := make([]ask, 16), make([]answer, 16)
		for i := range asks {
			reading.Add(1)
			// Half of the generations end during the pause and can no longer be resumed after it.
			reads := sync.OnceFunc(reading.Done)
			asks[i] = ask{output: 200 + i%2*800, mark: newMark(), at: 20, then: reads}
			calls.Go(func() {
				defer reads() // also when it failed early
				answers[i] = chat(c, entry.client, &asks[i])
			})
		}
		reading.Wait()
		is.NoErr(entry.Process.Signal(syscall.SIGSTOP))
		time.Sleep(pause)
		is.NoErr(entry.Process.Signal(syscall.SIGCONT))
		calls.Wait()
		longest, kinds := time.Duration(0), map[string]int{}
		for i, a := range answers {
			if i%2 == 1 {
				is.NoErr(complete(a, asks[i]))
			}
			is.NoErr(honest(a, asks[i]))
			longest = max(longest, a.gap)
			if a.err != nil {
				kinds[string(a.err.Kind)]++
			}
		}
		t.Logf("entry %s: %d streams, not complete %v, longest gap %s", entry.client, len(answers), kinds, longest)
		is.True(longest >= pause-time.Second && longest <= pause+detect+resumeSlack)
		is.NoErr(fleet.Wait(startLimit, "ready again", entry.ready))
	}
}

// TestProcesses guards against faults that only show between processes: a killed instance, and one that is paused while
// it owns a pool or holds the claim of a protected action.
func TestProcesses(t *testing.T) {
	is := is.New(t)
	p := &procs{t: t, dir: t.TempDir()}
	ins, runners, application := p.fleet()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

	// A ticket through the command line, read back at each instance.
	out := p.configure(c, ins, runners, application)
	is.True(strings.Contains(out, "in force at all 3 instances"))
	for _, in := range ins {
		shown := p.command("ticket", "show", "--address", in.operator)
		is.True(strings.Contains(shown, "kumamoto"))
	}

	// Under load: one instance is killed, another is paused for longer than a silent connection may stay unnoticed.
	// Clients keep to instance 0. By the hash, instance 2 owns the pool and instance 1 is the next owner.
	l := startLoad(t, 6, 150, func(int) (*http.Client, string) { return c, ins[0].client })
	time.Sleep(500 * time.Millisecond)
	is.NoErr(ins[2].Process.Kill())
	time.Sleep(2500 * time.Millisecond)
	var paused, after answer
	var side sync.WaitGroup
	side.Go(func() { paused = act(c, ins[1].client, "paused-holder", 2*time.Second) })
	time.Sleep(500 * time.Millisecond) // the claim is written and the call sent, the answer still to come
	is.NoErr(ins[1].Process.Signal(syscall.SIGSTOP))
	side.Go(func() { after = act(c, ins[0].client, "paused-holder", 2*time.Second) })
	time.Sleep(3500 * time.Millisecond)
	is.NoErr(ins[1].Process.Signal(syscall.SIGCONT))
	side.Wait()
	time.Sleep(time.Second)
	completed, _ := l.end(t)
	is.True(completed > 10)
	longest := time.Duration(0)
	for _, a := range l.answers {
		longest = max(longest, a.gap)
	}
	t.Logf("longest gap between two tokens %s", longest)
	is.True(longest <= detect+resumeSlack)

	last := act(c, ins[0].client, "paused-holder", 2*time.Second)
	var counts apprun.Counts
	getJSON(t, "http://"+application+"/admin/counts", &counts)
	t.Logf("paused holder: %s; second client: %s; third: %s; runs %v", paused, after, last, counts.Runs)
	is.Equal(counts.Runs["paused-holder"], int64(1))
	for _, a := range []answer{after, last} {
		is.True(!a.notRun())
	}

	// A planned stop ends the process by itself.
	is.NoErr(ins[1].Process.Signal(syscall.SIGTERM))
	is.NoErr(ins[1].Wait())
	is.True(fleet.Wait(ticketBound, "instance 1 gone", func() bool { return !ins[1].ready() }) == nil)
	q := ask{output: 5, mark: newMark()}
	is.NoErr(complete(chat(c, ins[0].client, &q), q))
}
