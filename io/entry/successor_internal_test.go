package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"snipeshed/core"
	"snipeshed/core/member"
	"snipeshed/wire"
)

// TestSuccessorAwaited guards against a call that is refused during a planned replacement, because its entry knows only instances
// that are leaving and their successor becomes known in the next moment.
func TestSuccessorAwaited(t *testing.T) {
	for name, tt := range map[string]struct {
		knownAfter time.Duration
		found      bool
	}{
		"a successor":      {300 * time.Millisecond, true},
		"no instance":      {time.Hour, false},
		"one far too late": {2 * maxOwnerWait, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				members := member.New(core.Peer{ID: "old", Address: "10.0.0.1:1"}, time.Second)
				e := &Entry{Deps: Deps{Common: core.NewCommon(logrus.NewEntry(logrus.New())), Members: members}}
				known := time.AfterFunc(tt.knownAfter, func() {
					members.Merge([]*wire.Instance{{Id: "new", Address: "10.0.0.2:1", Kind: member.KindInstance, State: member.StateLive, Revision: 1}}, 0, 1)
				})
				defer known.Stop()
				began := time.Now()
				owner, err := e.awaitOwner(t.Context(), &progress{pool: "m/0", triedOwners: map[core.InstanceID]bool{"old": true}})
				is.Equal(err == nil, tt.found)
				is.Equal(owner.ID == "new", tt.found)
				is.True(time.Since(began) <= min(tt.knownAfter+ownerCheckInterval, maxOwnerWait))
			})
		})
	}
}
