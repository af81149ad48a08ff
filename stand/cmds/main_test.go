package cmds_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"snipeshed/stand/cmds"
)

func TestWrongUse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer ln.Close()
	for _, tc := range []struct {
		name, guards string
		args         []string
		want         string
	}{
		{"unknown command", "a mistyped command that does nothing", []string{"plattform"}, `standin: no command "plattform"; standin --help shows the usage`},
		{"unknown flag", "help text that hides the error", []string{"platform", "--bogus"}, `standin: flag provided but not defined: -bogus; standin platform --help shows the usage`},
		{"value of the wrong type", "an invalid value replaced by the default", []string{"app", "--delay", "x"}, `standin: invalid value "x" for flag -delay: time: invalid duration "x"; standin app --help shows the usage`},
		{"value out of range", "an engine that makes no progress", []string{"runner", "--speed", "0"}, `standin: invalid value "0" for flag -speed: the speed must be positive; standin runner --help shows the usage`},
		{"negative value", "a negative delay", []string{"platform", "--delay", "-1s"}, `standin: invalid value "-1s" for flag -delay: -1s is negative; standin platform --help shows the usage`},
		{"argument", "an argument that is ignored", []string{"runner", "extra"}, `standin: unexpected argument "extra"; standin runner --help shows the usage`},
		{"port in use", "a stand-in that runs without its port", []string{"platform", "--address", ln.Addr().String()}, `standin: cannot listen on ` + ln.Addr().String() + `: bind: address already in use`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			t.Log("guards against " + tc.guards)
			var stdout, stderr bytes.Buffer
			is.Equal(cmds.Main(append([]string{"standin"}, tc.args...), &stdout, &stderr), 1)
			is.Equal(stderr.String(), tc.want+"\n")
			is.Equal(stdout.String(), "")
		})
	}
}

// Guards against a command that does not serve requests, or does not stop on SIGTERM.
func TestCommands(t *testing.T) {
	for _, tc := range []struct {
		args []string
		path string
	}{
		{[]string{"platform"}, "/admin/counts"},
		{[]string{"runner", "--model", "m"}, "/v1/load"},
		{[]string{"app", "--check-fencing=false"}, "/admin/counts"},
	} {
		t.Run(tc.args[0], func(t *testing.T) {
			is := is.New(t)
			r, w := io.Pipe()
			code := make(chan int)
			go func() { code <- cmds.Main(append([]string{"standin"}, tc.args...), w, io.Discard) }()
			line, err := bufio.NewReader(r).ReadString('\n')
			is.NoErr(err)
			resp, err := http.Get(strings.Fields(line)[3] + tc.path)
			is.NoErr(err)
			resp.Body.Close()
			is.Equal(resp.StatusCode, 200)
			is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM)) // the running command handles it
			is.Equal(<-code, 0)

			var help bytes.Buffer
			is.Equal(cmds.Main([]string{"standin", tc.args[0], "--help"}, &help, io.Discard), 0)
			is.True(strings.Contains(help.String(), "Example: standin "+tc.args[0]))
		})
	}
}
