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

// team is the team of the keys with which the client of package caller sends actions.
const team = "fukuoka"

// Admin makes an admin call of the platform, such as "release_answers".
func (f *Fleet) Admin(path string) error {
	resp, err := http.Post("http://"+f.Platform+"/admin/"+path, "", nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("admin call %s: status %d", path, resp.StatusCode)
	}
	return nil
}

// Counts returns the platform's counts.
func (f *Fleet) Counts() (c objs.Counts, err error) {
	err = GetJSON("http://"+f.Platform+"/admin/counts", &c)
	return c, err
}

// Record returns the stored record of a protected action's key, as the platform has it.
func (f *Fleet) Record(key string) (rec claim.Record, err error) {
	sum := sha256.Sum256([]byte(key))
	url := fmt.Sprintf("http://%s/v1/objects/actions/%s/%s/%s", f.Platform, fleet.AppService, team, hex.EncodeToString(sum[:]))
	err = GetJSON(url, &rec)
	return rec, err
}

// Runs returns how often the application ran a key.
func (f *Fleet) Runs(key string) (int64, error) {
	var counts apprun.Counts
	err := GetJSON("http://"+f.Application+"/admin/counts", &counts)
	return counts.Runs[key], err
}

// AwaitAnswers waits until each instance answers a request completely.
func (f *Fleet) AwaitAnswers(c *http.Client, limit time.Duration) error {
	return fleet.Wait(limit, "first answers", func() bool {
		for _, in := range f.Instances {
			q := caller.Ask{Output: 3, Mark: caller.NewMark()}
			if caller.Chat(c, in.Client, &q).Complete(q) != nil {
				return false
			}
		}
		return true
	})
}

// Stopped reports whether the kernel has stopped a process; SIGSTOP is delivered some time after kill returns.
func Stopped(cmd *exec.Cmd) bool {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	return err == nil && bytes.Contains(b, []byte(") T "))
}
