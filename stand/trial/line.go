package trial

import (
	"fmt"
	"strings"
	"time"

	"snipeshed/core"
)

// line returns the figures of one run as key=value pairs.
func (r *result) line() string {
	m := r.meter
	var b strings.Builder
	put := func(key, format string, v any) { fmt.Fprintf(&b, " %s="+format, key, v) }
	b.WriteString("event=policy_run")
	put("trace", "%s", r.user.Name)
	put("scenario", "%s", r.scenario.name)
	put("policy", "%s", r.policy)
	put("calls", "%d", m.offers[urgent]+m.offers[background])
	put("tokens", "%d", m.outcome.Tokens)
	put("stall_ms_per_stream", "%.1f", m.stallPerStream())
	put("preemptions_per_1000", "%.1f", m.preemptions())
	for _, q := range []int{50, 95, 99} {
		put(fmt.Sprintf("gap_p%d_ms", q), "%.1f", ms(m.gaps.ValueAtQuantile(float64(q))))
	}
	for _, rank := range []core.RankName{urgent, background} {
		for _, q := range []int{50, 95} {
			put(fmt.Sprintf("first_%s_p%d_ms", rank, q), "%.0f", ms(m.firsts[rank].ValueAtQuantile(float64(q))))
		}
	}
	put("urgent_in_target_percent", "%.2f", 100*m.urgentInTarget())
	put("refused_urgent_percent", "%.2f", 100*ratio(float64(m.refusals[urgent]), float64(m.offers[urgent])))
	put("refused_background_percent", "%.2f", 100*ratio(float64(m.refusals[background]), float64(m.offers[background])))
	for _, i := range r.scenario.floods {
		o := other(r.scenario.phases[i].rank)
		put("kept_rank", "%s", o)
		put("kept_percent", "%.1f", 100*m.kept(i, o))
		put("floor_percent", "%d", r.user.floor(o))
		put("kept_of_floor_percent", "%.1f", 100*m.keptOfFloor(i, o))
		put("kept_admitted_percent", "%.1f", 100*m.admittedIn(i, o))
	}
	put("smallest_team_share_percent", "%.1f", 100*smallest(m.windows))
	put("smallest_team_ceiling_percent", "%.1f", 100*ceiling(m.windows))
	put("smallest_team_whole_run_percent", "%.1f", 100*smallest([]*shares{m.whole}))
	put("refused_small_teams_percent", "%.2f", 100*ratio(float64(m.smallRefusals), float64(m.smallOffers)))
	put("recomputed_tokens", "%d", m.recomputed)
	put("run_ms", "%d", r.took.Milliseconds())
	return b.String()
}

func ms(us int64) float64 { return float64(us) / 1000 }

func other(r core.RankName) core.RankName {
	if r == urgent {
		return background
	}
	return urgent
}

func (u *User) floor(r core.RankName) int64 {
	for _, rule := range u.rules.Ranks {
		if rule.Name == r {
			return rule.FloorPercent
		}
	}
	return 0
}

func (m *meter) stallPerStream() float64 {
	return ratio(float64(m.stall)/float64(time.Millisecond), float64(m.streams))
}

func (m *meter) preemptions() float64 {
	return 1000 * ratio(float64(m.outcome.Preemptions), float64(m.outcome.Started))
}

// urgentInTarget returns the part of the admitted urgent calls whose first token came within the target.
func (m *meter) urgentInTarget() float64 {
	return ratio(float64(m.inTarget), float64(m.offers[urgent]-m.refusals[urgent]))
}

// admittedIn returns the part of a rank's calls of a phase that ran.
func (m *meter) admittedIn(i int, r core.RankName) float64 {
	return 1 - ratio(float64(m.refusedIn[i][r]), float64(m.offerIn[i][r]))
}

// stallHalf is the stall per stream that halves its part of the score.
const stallHalf = 100 // ms

// score weighs the runs of one user's trace by what that user asks for, from 0 to 100.
func score(u *User, policy string, results []*result) string {
	var sum, n float64
	for _, r := range results {
		if r.user.Name != u.Name || r.policy != policy {
			continue
		}
		m := r.meter
		n++
		if u.Name == "hashimoto" {
			served := ratio(float64(m.inTarget), float64(m.offers[urgent]))
			if len(r.scenario.floods) > 0 && r.scenario.phases[r.scenario.floods[0]].rank == urgent {
				// More is asked for than the fleet can do, so only admitted work can be in time.
				served = m.urgentInTarget()
			}
			sum += 0.5*served + 0.5*stallHalf/(stallHalf+m.stallPerStream())
			continue
		}
		kept := 1.0
		for _, i := range r.scenario.floods {
			kept = m.keptOfFloor(i, other(r.scenario.phases[i].rank))
		}
		sum += 0.5*smallest(m.windows) + 0.5*kept
	}
	return fmt.Sprintf("event=policy_score trace=%s policy=%s score=%.1f", u.Name, policy, 100*ratio(sum, n))
}
