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
	"snipeshed/stand/caller"
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

// processes is a fleet of 3 instances, 3 model runners, 1 application runner and the platform, each a process.
type processes struct {
	*procs
	platform, application string
	app                   *exec.Cmd
	ins                   []*proc
}

// command runs a command of snipeshed and returns its output.
func (p *processes) command(args ...string) string {
	out, err := exec.Command(filepath.Join(p.dir, "snipeshed"), args...).CombinedOutput()
	if err != nil {
		p.t.Errorf("snipeshed %v: %v: %s", args, err, out)
	}
	return string(out)
}

// runs returns how often the application ran a key.
func (p *processes) runs(key string) int64 {
	var counts apprun.Counts
	getJSON(p.t, "http://"+p.application+"/admin/counts", &counts)
	return counts.Runs[key]
}

// startProcesses starts the fleet, its runners with further arguments, and applies its ticket through the command line.
func startProcesses(t *testing.T, delay time.Duration, runnerArgs ...string) *processes {
	t.Helper()
	is := is.New(t)
	p := &processes{procs: &procs{t: t, dir: t.TempDir()}}
	build := exec.Command("go", "build", "-o", p.dir+"/", "snipeshed/cmd/snipeshed", "snipeshed/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	_, p.platform = p.run("standin", true, "platform", "--list-lag", "200ms")
	var runners []string
	for range 3 {
		_, addr := p.run("standin", true, append([]string{"runner", "--load-time", "0s"}, runnerArgs...)...)
		runners = append(runners, addr)
	}
	p.app, p.application = p.run("standin", true, "app", "--delay", delay.String())

	ports := freePorts(t, 9)
	for i := range 3 {
		in := &proc{client: ports[3*i], peer: ports[3*i+1], operator: ports[3*i+2]}
		file := filepath.Join(p.dir, fmt.Sprintf("instance-%d.json", i))
		settings := fmt.Sprintf(`{"instance": "instance-%d", "failure_domain": %q, "platform_url": "http://%s",
			"client_address": %q, "peer_address": %q, "operator_address": %q}`, i, fleet.Domains[i], p.platform, in.client, in.peer, in.operator)
		is.NoErr(os.WriteFile(file, []byte(settings), 0o600))
		in.Cmd, _ = p.run("snipeshed", false, "serve", "--settings", file)
		body, err := json.Marshal(objs.Instance{
			ID: fmt.Sprintf("instance-%d", i), Address: in.peer, FailureDomain: fleet.Domains[i], Kind: member.KindInstance, State: member.StateLive,
		})
		is.NoErr(err)
		resp, err := http.Post("http://"+p.platform+"/admin/instances", "application/json", bytes.NewReader(body))
		is.NoErr(err)
		resp.Body.Close()
		p.ins = append(p.ins, in)
	}
	for _, in := range p.ins {
		is.NoErr(fleet.Wait(startLimit, "instance ready", in.ready))
	}

	// A ticket through the command line, read back at each instance.
	ticket, err := protojson.Marshal(fleet.NewTicket(runners, []string{p.application}))
	is.NoErr(err)
	file := filepath.Join(p.dir, "ticket.json")
	is.NoErr(os.WriteFile(file, ticket, 0o600))
	is.NoErr(fleet.Wait(startLimit, "every instance knows the others", func() bool {
		for _, in := range p.ins {
			if s := p.command("status", "--address", in.operator); !strings.Contains(s, "instance-0") || !strings.Contains(s, "instance-1") || !strings.Contains(s, "instance-2") {
				return false
			}
		}
		return true
	}))
	applied := time.Now()
	out := p.command("ticket", "apply", "--wait", "--wait-timeout", "10s", "--address", p.ins[1].operator, file)
	is.True(strings.Contains(out, "in force at all 3 instances"))
	t.Logf("ticket in force at all instances %s after the command began", time.Since(applied))
	for _, in := range p.ins {
		shown := p.command("ticket", "show", "--address", in.operator)
		is.True(strings.Contains(shown, "kumamoto"))
	}
	return p
}

// awaitAnswers waits until each instance answers.
func (p *processes) awaitAnswers(c *http.Client) {
	is.New(p.t).NoErr(fleet.Wait(startLimit, "first answers", func() bool {
		for _, in := range p.ins {
			q := ask{Output: 3, Mark: caller.NewMark()}
			if caller.Chat(c, in.client, &q).Complete(q) != nil {
				return false
			}
		}
		return true
	}))
}

// TestProcesses guards against faults that only show between processes: a killed instance, and one that is paused while
// it owns a pool or holds the claim of a protected action.
func TestProcesses(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t, 1500*time.Millisecond)
	ins := p.ins
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	p.awaitAnswers(c)

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
		longest = max(longest, a.Gap)
	}
	t.Logf("longest gap between two tokens %s", longest)
	is.True(longest <= detect+resumeSlack)

	last := act(c, ins[0].client, "paused-holder", 2*time.Second)
	runs := p.runs("paused-holder")
	t.Logf("paused holder: %s; second client: %s; third: %s; runs %d", paused, after, last, runs)
	is.Equal(runs, int64(1))
	for _, a := range []answer{after, last} {
		is.True(!a.NotRun())
	}

	// A planned stop ends the process by itself.
	is.NoErr(ins[1].Process.Signal(syscall.SIGTERM))
	is.NoErr(ins[1].Wait())
	is.True(fleet.Wait(ticketBound, "instance 1 gone", func() bool { return !ins[1].ready() }) == nil)
	q := ask{Output: 5, Mark: caller.NewMark()}
	is.NoErr(caller.Chat(c, ins[0].client, &q).Complete(q))
}
