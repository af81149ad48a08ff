package procs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

// Procs are processes of binaries in one folder.
type Procs struct {
	dir  string
	cmds []*exec.Cmd
}

// New builds snipeshed and standin into a folder; it must run inside the module.
func New(dir string) (*Procs, error) {
	build := exec.Command("go", "build", "-o", dir+"/", "snipeshed/cmd/snipeshed", "snipeshed/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("build: %w: %s", err, out)
	}
	return &Procs{dir: dir}, nil
}

// Close kills the processes, the last one first, and waits for their end.
func (p *Procs) Close() {
	for _, cmd := range slices.Backward(p.cmds) {
		_ = cmd.Process.Signal(syscall.SIGCONT) // a stopped process would not end; fails when it has ended
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	p.cmds = nil
}

// Run starts a process.
func (p *Procs) Run(name string, args ...string) (*exec.Cmd, error) {
	cmd := p.cmd(name, args)
	return cmd, p.start(cmd)
}

// RunTo starts a process that writes its output and errors to a file.
func (p *Procs) RunTo(out *os.File, name string, args ...string) (*exec.Cmd, error) {
	cmd := p.cmd(name, args)
	cmd.Stdout, cmd.Stderr = out, out
	return cmd, p.start(cmd)
}

// RunAddress starts a process and returns the address at the end of the first line of its output.
func (p *Procs) RunAddress(name string, args ...string) (*exec.Cmd, string, error) {
	cmd := p.cmd(name, args)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, "", err
	}
	if err := p.start(cmd); err != nil {
		return nil, "", err
	}
	s, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, "", fmt.Errorf("%s did not start: %w", name, err)
	}
	return cmd, strings.TrimPrefix(strings.TrimSpace(s[strings.LastIndex(s, " ")+1:]), "http://"), nil
}

// Command runs a command of snipeshed to its end and returns its output.
func (p *Procs) Command(args ...string) (string, error) {
	out, err := p.cmd("snipeshed", args).CombinedOutput()
	if err != nil {
		err = fmt.Errorf("snipeshed %v: %w: %s", args, err, out)
	}
	return string(out), err
}

func (p *Procs) cmd(name string, args []string) *exec.Cmd {
	return exec.Command(filepath.Join(p.dir, name), args...)
}

func (p *Procs) start(cmd *exec.Cmd) error {
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmds = append(p.cmds, cmd)
	return nil
}

// FreePorts returns addresses that were free a moment ago.
func FreePorts(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // only at the end, so that the addresses differ
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// GetJSON decodes the answer of a URL.
func GetJSON(url string, v any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}
