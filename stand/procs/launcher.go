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

// Launcher starts processes from binaries in a folder and ends them.
type Launcher struct {
	dir  string
	cmds []*exec.Cmd
}

// NewLauncher builds the binaries snipeshed and standin into a folder; the working directory must be inside the module.
func NewLauncher(dir string) (*Launcher, error) {
	build := exec.Command("go", "build", "-o", dir+"/", "snipeshed/cmd/snipeshed", "snipeshed/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("build: %w: %s", err, out)
	}
	return &Launcher{dir: dir}, nil
}

// Close kills the processes in reverse order of their start and waits until they have ended.
func (p *Launcher) Close() {
	for _, cmd := range slices.Backward(p.cmds) {
		_ = cmd.Process.Signal(syscall.SIGCONT) // continues a stopped process; fails when the process has ended
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	p.cmds = nil
}

// Start starts the named binary.
func (p *Launcher) Start(name string, args ...string) (*exec.Cmd, error) {
	cmd := p.command(name, args)
	return cmd, p.startCommand(cmd)
}

// StartWithOutput starts the named binary with its standard output and standard error written to a file.
func (p *Launcher) StartWithOutput(out *os.File, name string, args ...string) (*exec.Cmd, error) {
	cmd := p.command(name, args)
	cmd.Stdout, cmd.Stderr = out, out
	return cmd, p.startCommand(cmd)
}

// StartWithAddress starts the named binary and returns the address at the end of the first line of its output.
func (p *Launcher) StartWithAddress(name string, args ...string) (*exec.Cmd, string, error) {
	cmd := p.command(name, args)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, "", err
	}
	if err := p.startCommand(cmd); err != nil {
		return nil, "", err
	}
	s, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, "", fmt.Errorf("%s ended its output before it printed its address: %w", name, err)
	}
	return cmd, strings.TrimPrefix(strings.TrimSpace(s[strings.LastIndex(s, " ")+1:]), "http://"), nil
}

// RunCommand runs snipeshed with the given arguments, waits for it and returns its output.
func (p *Launcher) RunCommand(args ...string) (string, error) {
	out, err := p.command("snipeshed", args).CombinedOutput()
	if err != nil {
		err = fmt.Errorf("snipeshed %v: %w: %s", args, err, out)
	}
	return string(out), err
}

func (p *Launcher) command(name string, args []string) *exec.Cmd {
	return exec.Command(filepath.Join(p.dir, name), args...)
}

func (p *Launcher) startCommand(cmd *exec.Cmd) error {
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmds = append(p.cmds, cmd)
	return nil
}

// FreeAddresses returns n loopback addresses that were free at the time of the call.
func FreeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // when the function returns, so that the addresses differ
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// GetJSON decodes the JSON response of a URL into v.
func GetJSON(url string, v any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}
