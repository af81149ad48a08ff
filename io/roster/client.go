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

// maxListBytes is ten times the size of a list of 3,150 entries of 250 bytes, the target size of the fleet with its engines.
const maxListBytes = 8 << 20

// Client is a client of the platform's instance list.
type Client struct {
	url     string
	timeout time.Duration
	link    *link.Network
	client  *http.Client
}

// New returns a Client for the platform in the settings.
func New(cfg *conf.Settings) *Client {
	l := link.New(cfg)
	return &Client{
		url:     strings.TrimSuffix(cfg.GetPlatformUrl(), "/") + "/v1/instances",
		timeout: time.Duration(cfg.GetStoreTimeoutMs()) * time.Millisecond,
		link:    l, client: l.PlatformClient(),
	}
}

// Bytes returns the bytes sent and received on connections to the platform.
func (r *Client) Bytes() (sent, received int64) { return r.link.Bytes() }

// Close closes the idle connections.
func (r *Client) Close() { r.client.CloseIdleConnections() }

type listResponse struct {
	Revision  uint64            `json:"revision"`
	Instances []json.RawMessage `json:"instances"` // decoded one by one, as one odd entry must not hide the others
}

type listEntry struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Kind          string `json:"kind"`
	State         string `json:"state"`
}

// List returns the entries that changed after a revision, and the revision of the answer; since 0 returns the full list.
//
// The platform returns no revision per entry, so every entry gets the revision
// of the answer: that is the revision at which the list held this entry.
func (r *Client) List(ctx context.Context, since uint64) ([]*wire.Instance, uint64, error) {
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
		return nil, 0, fmt.Errorf("instance list was cut off: %w", err)
	case resp.StatusCode != http.StatusOK:
		return nil, 0, fmt.Errorf("instance list cannot be read: the platform answered %s", resp.Status)
	case len(body) > maxListBytes:
		return nil, 0, fmt.Errorf("instance list is larger than %d bytes", maxListBytes)
	}
	var a listResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, 0, fmt.Errorf("instance list is malformed: %w", err)
	}
	return toInstances(a), a.Revision, nil
}

func toInstances(a listResponse) []*wire.Instance {
	list := make([]*wire.Instance, 0, len(a.Instances))
	for _, raw := range a.Instances {
		var e listEntry
		if err := json.Unmarshal(raw, &e); err != nil {
			continue // names no instance
		}
		if e.ID == "" || e.Kind != member.KindInstance && e.Kind != member.KindEndpoint {
			continue // a newer platform may list kinds that are unknown here
		}
		state := e.State
		if state != member.StateLive && state != member.StateGone {
			state = member.StateLeaving // an instance in an unknown state gets no new work
		}
		list = append(list, &wire.Instance{
			Id: e.ID, Address: e.Address, FailureDomain: e.FailureDomain, Kind: e.Kind, State: state, Revision: a.Revision,
		})
	}
	return list
}
