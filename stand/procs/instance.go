package procs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"snipeshed/core/member"
	"snipeshed/stand/fleet"
	"snipeshed/stand/objs"
)

// readyTimeout bounds a readiness check, since a stopped process does not answer.
const readyTimeout = 500 * time.Millisecond

// Instance is an instance that runs in its own process.
type Instance struct {
	*exec.Cmd
	ClientAddress, PeerAddress, OperatorAddress string
}

// Ready reports whether the instance passes its readiness check.
func (in *Instance) Ready() bool {
	c := http.Client{Timeout: readyTimeout}
	resp, err := c.Get("http://" + in.ClientAddress + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addInstance starts the i-th instance on the first 3 of the given addresses and adds it to the platform's instance list.
func (f *Fleet) addInstance(i int, addresses []string) error {
	in := &Instance{ClientAddress: addresses[0], PeerAddress: addresses[1], OperatorAddress: addresses[2]}
	settingsFile := filepath.Join(f.dir, instanceID(i)+".json")
	settings := fmt.Sprintf(`{"instance": %q, "failure_domain": %q, "platform_url": "http://%s",
		"client_address": %q, "peer_address": %q, "operator_address": %q}`, instanceID(i), fleet.Domains[i], f.PlatformAddress, in.ClientAddress, in.PeerAddress, in.OperatorAddress)
	err := os.WriteFile(settingsFile, []byte(settings), 0o600)
	if err != nil {
		return err
	}
	if in.Cmd, err = f.Start("snipeshed", "serve", "--settings", settingsFile); err != nil {
		return err
	}
	body, err := json.Marshal(objs.Instance{
		ID: instanceID(i), Address: in.PeerAddress, FailureDomain: fleet.Domains[i], Kind: member.KindInstance, State: member.StateLive,
	})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+f.PlatformAddress+"/admin/instances", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp.Body.Close()
	f.Instances = append(f.Instances, in)
	return nil
}

func instanceID(i int) string { return fmt.Sprintf("instance-%d", i) }
