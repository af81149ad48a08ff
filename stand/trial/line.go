package trial

import (
	"fmt"
	"strings"
	"time"

	"snipeshed/core"
)

// formatLine returns the measurements of one run as a line of key=value pairs.
func (r *policyRun) formatLine() string {
	m := r.meter
	var b strings.Builder
	put := func(key, format string, v any) { fmt.Fprintf(&b, " %s="+format, key, v) }
	b.WriteString("event=policy_run")
	put("trace", "%s", r.workload.Name)
	put("scenario", "%s", r.scenario.name)
	put("policy", "%s", r.policy)
	put("calls", "%d", m.offers[urgent]+m.offers[background])
	put("tokens", "%d", m.outcome.Tokens)
	put("stall_ms_per_stream", "%.1f", m.stallMSPerStream())
	put("preemptions_per_1000", "%.1f", m.preemptionsPer1000())
	for _, q := range []int{50, 95, 99} {
		put(fmt.Sprintf("gap_p%d_ms", q), "%.1f", microsToMillis(m.tokenGaps.ValueAtQuantile(float64(q))))
	}
	for _, rank := range []core.RankName{urgent, background} {
		for _, q := range []int{50, 95} {
			put(fmt.Sprintf("first_%s_p%d_ms", rank, q), "%.0f", microsToMillis(m.firstTokenDelays[rank].ValueAtQuantile(float64(q))))
		}
	}
	put("urgent_in_target_percent", "%.2f", 100*m.urgentInTargetShare())
	put("refused_urgent_percent", "%.2f", 100*ratio(float64(m.refusals[urgent]), float64(m.offers[urgent])))
	put("refused_background_percent", "%.2f", 100*ratio(float64(m.refusals[background]), float64(m.offers[background])))
	for _, i := range r.scenario.floods {
		o := otherRank(r.scenario.phases[i].rank)
		put("kept_rank", "%s", o)
		put("kept_percent", "%.1f", 100*m.deliveredShare(i, o))
		put("floor_percent", "%d", r.workload.floorPercent(o))
		put("kept_of_floor_percent", "%.1f", 100*m.keptShareOfFloor(i, o))
		put("kept_admitted_percent", "%.1f", 100*m.admittedShare(i, o))
	}
	put("smallest_team_share_percent", "%.1f", 100*servedRatioOfSmallTeams(m.windows))
	put("smallest_team_ceiling_percent", "%.1f", 100*urgentFirstRatioOfSmallTeams(m.windows))
	put("smallest_team_whole_run_percent", "%.1f", 100*servedRatioOfSmallTeams([]*shares{m.wholeRun}))
	put("refused_small_teams_percent", "%.2f", 100*ratio(float64(m.smallTeamRefusals), float64(m.smallTeamOffers)))
	put("recomputed_tokens", "%d", m.recomputed)
	put("run_ms", "%d", r.duration.Milliseconds())
	return b.String()
}

// microsToMillis converts microseconds to milliseconds.
func microsToMillis(us int64) float64 { return float64(us) / 1000 }

func otherRank(r core.RankName) core.RankName {
	if r == urgent {
		return background
	}
	return urgent
}

func (w *Workload) floorPercent(r core.RankName) int64 {
	for _, rule := range w.rules.Ranks {
		if rule.Name == r {
			return rule.FloorPercent
		}
	}
	return 0
}

// stallMSPerStream returns the mean time, in milliseconds, by which a stream's token gaps exceeded their target in total.
func (m *meter) stallMSPerStream() float64 {
	return ratio(float64(m.stall)/float64(time.Millisecond), float64(m.streams))
}

func (m *meter) preemptionsPer1000() float64 {
	return 1000 * ratio(float64(m.outcome.Preemptions), float64(m.outcome.Started))
}

// urgentInTargetShare returns the fraction of the admitted urgent calls whose first token arrived within the target.
func (m *meter) urgentInTargetShare() float64 {
	return ratio(float64(m.urgentInTarget), float64(m.offers[urgent]-m.refusals[urgent]))
}

// admittedShare returns the fraction of a rank's calls that arrived during a phase and were not refused.
func (m *meter) admittedShare(i int, r core.RankName) float64 {
	return 1 - ratio(float64(m.refusedIn[i][r]), float64(m.offeredIn[i][r]))
}

// halfScoreStallMS is the stall per stream, in milliseconds, at which the stall's part of the score is halved.
const halfScoreStallMS = 100

// formatScore returns a line with a policy's score for one workload, from 0 to 100. The score is the mean over the
// scenarios, and its terms depend on the goals of the workload.
func formatScore(w *Workload, policy string, runs []*policyRun) string {
	var sum, count float64
	for _, r := range runs {
		if r.workload.Name != w.Name || r.policy != policy {
			continue
		}
		m := r.meter
		count++
		if w.Name == "hashimoto" {
			served := ratio(float64(m.urgentInTarget), float64(m.offers[urgent]))
			if len(r.scenario.floods) > 0 && r.scenario.phases[r.scenario.floods[0]].rank == urgent {
				// Demand exceeds the fleet's capacity, so only admitted calls can meet the target.
				served = m.urgentInTargetShare()
			}
			sum += 0.5*served + 0.5*halfScoreStallMS/(halfScoreStallMS+m.stallMSPerStream())
			continue
		}
		kept := 1.0
		for _, i := range r.scenario.floods {
			kept = m.keptShareOfFloor(i, otherRank(r.scenario.phases[i].rank))
		}
		sum += 0.5*servedRatioOfSmallTeams(m.windows) + 0.5*kept
	}
	return fmt.Sprintf("event=policy_score trace=%s policy=%s score=%.1f", w.Name, policy, 100*ratio(sum, count))
}
