package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"snipeshed/conf"
	"snipeshed/core/member"
	"snipeshed/io/link"
	"snipeshed/wire"
)

// maxListBytes is ten times a list of 3,150 entries of 250 bytes, the target size of the fleet with its engines.
const maxListBytes = 8 << 20

// Roster is a client of the platform's instance list.
type Roster struct {
	url     string
	timeout time.Duration
	link    *link.Link
	client  *http.Client
}

// New returns a Roster for the platform of the settings.
func New(cfg *conf.Settings) *Roster {
	l := link.New(cfg)
	return &Roster{
		url:     strings.TrimSuffix(cfg.GetPlatformUrl(), "/") + "/v1/instances",
		timeout: time.Duration(cfg.GetStoreTimeoutMs()) * time.Millisecond,
		link:    l, client: l.EndpointClient(),
	}
}

// Bytes returns the bytes sent and received.
func (r *Roster) Bytes() (sent, received int64) { return r.link.Bytes() }

// Close closes the connections.
func (r *Roster) Close() { r.client.CloseIdleConnections() }

type answer struct {
	Revision  uint64  `json:"revision"`
	Instances []entry `json:"instances"`
}

type entry struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Kind          string `json:"kind"`
	State         string `json:"state"`
}

// List returns the entries that changed after a revision, and the revision of the answer; since 0 gives the full list.
//
// The platform gives no revision per entry, so every entry carries the
// revision of the answer: it states what the list held then.
func (r *Roster) List(ctx context.Context, since uint64) ([]*wire.Instance, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s?since=%d", r.url, since), nil)
	if err != nil {
		return nil, 0, fmt.Errorf("instance list at %q cannot be requested: %w", r.url, err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, 0, fmt.Errorf("instance list cannot be read: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	switch {
	case err != nil:
		return nil, 0, fmt.Errorf("instance list broke off: %w", err)
	case resp.StatusCode != http.StatusOK:
		return nil, 0, fmt.Errorf("instance list cannot be read: the platform answered %s", resp.Status)
	case len(body) > maxListBytes:
		return nil, 0, fmt.Errorf("instance list is larger than %d bytes", maxListBytes)
	}
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, 0, fmt.Errorf("instance list is malformed: %w", err)
	}
	return entries(a), a.Revision, nil
}

func entries(a answer) []*wire.Instance {
	list := make([]*wire.Instance, 0, len(a.Instances))
	for _, e := range a.Instances {
		if e.ID == "" || e.Kind != member.KindInstance && e.Kind != member.KindEndpoint {
			continue // a newer platform may list kinds that are unknown here
		}
		state := e.State
		if state != member.StateLive && state != member.StateGone {
			state = member.StateLeaving // an unknown state is no ground for new work
		}
		list = append(list, &wire.Instance{
			Id: e.ID, Address: e.Address, FailureDomain: e.FailureDomain, Kind: e.Kind, State: state, Revision: a.Revision,
		})
	}
	return list
}
