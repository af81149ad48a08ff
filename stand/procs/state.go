package procs

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"time"

	"snipeshed/core/claim"
	"snipeshed/stand/apprun"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/objs"
)

// team is the team of the API key with which package caller sends protected actions.
const team = "fukuoka"

// CallPlatformAdmin sends an admin call to the simulated platform, such as "release_answers".
func (f *Fleet) CallPlatformAdmin(path string) error {
	resp, err := http.Post("http://"+f.PlatformAddress+"/admin/"+path, "", nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("admin call %s: status %d", path, resp.StatusCode)
	}
	return nil
}

// PlatformCounts returns the counters of the simulated platform.
func (f *Fleet) PlatformCounts() (c objs.Counts, err error) {
	err = GetJSON("http://"+f.PlatformAddress+"/admin/counts", &c)
	return c, err
}

// ActionRecord returns the record of a protected action's idempotency key from the platform's store.
func (f *Fleet) ActionRecord(key string) (rec claim.Record, err error) {
	sum := sha256.Sum256([]byte(key))
	url := fmt.Sprintf("http://%s/v1/objects/actions/%s/%s/%s", f.PlatformAddress, fleet.AppService, team, hex.EncodeToString(sum[:]))
	err = GetJSON(url, &rec)
	return rec, err
}

// RunCount returns how often the application ran the action with an idempotency key.
func (f *Fleet) RunCount(key string) (int64, error) {
	var counts apprun.Counts
	err := GetJSON("http://"+f.ApplicationAddress+"/admin/counts", &counts)
	return counts.Runs[key], err
}

// AwaitAnswers waits until each instance answers a chat request completely.
func (f *Fleet) AwaitAnswers(c *http.Client, timeout time.Duration) error {
	return fleet.Wait(timeout, "first answers", func() bool {
		for _, in := range f.Instances {
			q := caller.ChatRequest{OutputTokens: 3, Mark: caller.NewMark()}
			if caller.Chat(c, in.ClientAddress, &q).CheckComplete(q) != nil {
				return false
			}
		}
		return true
	})
}

// IsStopped reports whether the kernel has stopped a process; a SIGSTOP may take effect after the signal call returns.
func IsStopped(cmd *exec.Cmd) bool {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	return err == nil && bytes.Contains(b, []byte(") T "))
}
