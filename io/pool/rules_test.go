package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/wire"
)

// TestPolicyRulesCopyAllRankSettings guards against settings of a rank that do not reach the policy.
func TestPolicyRulesCopyAllRankSettings(t *testing.T) {
	is := is.New(t)
	cfg := &core.Config{Ranks: map[core.RankName]*wire.Rank{
		"urgent": {Name: "urgent", Priority: 9, FloorPercent: 20, FirstTokenTargetMs: 310, TokenGapTargetMs: 31, QueueLimit: 7},
	}}
	is.Equal(policyRules(cfg).Ranks, []core.RankRule{{
		Name: "urgent", Priority: 9, FloorPercent: 20, QueueLimit: 7,
		FirstTokenTarget: 310 * time.Millisecond, TokenGapTarget: 31 * time.Millisecond,
	}})
}
