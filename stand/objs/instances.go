package objs

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"snipeshed/core"
	"snipeshed/stand/host"
)

// Instance is an entry in the instance list.
type Instance struct {
	ID            string             `json:"id"`
	Address       string             `json:"address"`
	FailureDomain core.FailureDomain `json:"failure_domain"`
	// Kind is "snipeshed" or "endpoint".
	Kind string `json:"kind"`
	// State is "live", "leaving" or "gone".
	State string `json:"state"`
}

// Instances is the response of the instance list: the entries that changed after the caller's revision, in ID order.
type Instances struct {
	Revision  int64      `json:"revision"`
	Instances []Instance `json:"instances"`
}

type instanceChange struct {
	Instance
	at  time.Time
	rev int64
}

// instanceLog is the log of all changes to the instance list.
type instanceLog struct {
	changes []instanceChange
}

func (l *instanceLog) add(now time.Time, i Instance) {
	l.changes = append(l.changes, instanceChange{i, now, int64(len(l.changes)) + 1})
}

// changedSince returns the list as of the time at, limited to the entries that changed after revision rev. If rev is 0, it
// omits instances that are gone.
func (l *instanceLog) changedSince(at time.Time, rev int64) Instances {
	out := Instances{Instances: []Instance{}}
	latest := map[string]instanceChange{}
	for _, c := range l.changes {
		if c.at.After(at) {
			break
		}
		latest[c.ID] = c
		out.Revision = c.rev
	}
	for _, c := range latest {
		if c.rev > rev && (rev > 0 || c.State != "gone") {
			out.Instances = append(out.Instances, c.Instance)
		}
	}
	slices.SortFunc(out.Instances, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// SetInstance adds an instance or changes its entry; the list shows the change after the list lag.
func (o *Platform) SetInstance(i Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.instances.add(time.Now(), i)
}

func (o *Platform) handleInstances(w http.ResponseWriter, r *http.Request) {
	rev, err := strconv.ParseInt("0"+r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		host.WriteError(w, http.StatusBadRequest, "query parameter since is not a revision")
		return
	}
	o.mu.Lock()
	o.counts.InstanceLists++
	out := o.instances.changedSince(time.Now().Add(-o.cfg.listLag), rev)
	o.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, out)
}

func (o *Platform) handlePostInstance(w http.ResponseWriter, r *http.Request) {
	var i Instance
	if !host.DecodeJSON(w, r, maxValueBytes, &i) {
		return
	}
	validKind, validState := i.Kind == "snipeshed" || i.Kind == "endpoint", i.State == "live" || i.State == "leaving" || i.State == "gone"
	if i.ID == "" || !validKind || !validState {
		host.WriteError(w, http.StatusBadRequest, "an instance needs an id, a kind (snipeshed, endpoint) and a state (live, leaving, gone)")
		return
	}
	o.SetInstance(i)
	w.WriteHeader(http.StatusNoContent)
}
