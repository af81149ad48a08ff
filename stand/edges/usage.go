package edges

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage is what the process of an instance takes of its machine.
type Usage struct {
	Memory      int64 // bytes, the largest resident size so far
	Descriptors int
}

// Usage returns what the process takes now; an error means that it has ended.
func (in *Instance) Usage() (Usage, error) {
	dir := fmt.Sprintf("/proc/%d", in.Cmd.Process.Pid)
	f, err := os.Open(dir + "/status")
	if err != nil {
		return Usage{}, err
	}
	defer f.Close()
	var out Usage
	for s := bufio.NewScanner(f); s.Scan(); {
		if rest, ok := strings.CutPrefix(s.Text(), "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return Usage{}, err
			}
			out.Memory = kb << 10
		}
	}
	if out.Memory == 0 {
		return Usage{}, fmt.Errorf("process %d has ended", in.Cmd.Process.Pid)
	}
	fds, err := os.ReadDir(dir + "/fd")
	out.Descriptors = len(fds)
	return out, err
}
