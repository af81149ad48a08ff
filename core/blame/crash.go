package blame

import (
	"slices"
	"time"

	"snipeshed/core"
)

const (
	maxLosses    = 48 // of one crash
	maxParts     = 16 // of one loss
	maxPartBytes = 64 // of the id of a part
)

// crash is one crash of an engine process.
type crash struct {
	crashInfo
	losses []core.Loss
}

// crashInfo is what is known of a crash besides its losses.
type crashInfo struct {
	engine core.Incarnation
	host   string // address of the engine; empty if unknown
	at     time.Time
	usedAt time.Time // when a request was last refused on account of the crash; at if none was
}

// update takes over what another record of the same crash tells. Reports arrive late, so that the earliest time is the most exact
// one.
func (c *crash) update(info crashInfo) {
	if info.at.Before(c.at) {
		c.at = info.at
	}
	c.usedAt = core.Later(c.usedAt, info.usedAt)
	if c.host == "" {
		c.host = info.host
	}
}

// add adds a loss and reports whether it is new.
func (c *crash) add(l core.Loss) bool {
	if len(l.Parts) > maxParts {
		l.Parts = l.Parts[:maxParts]
	}
	slices.Sort(l.Parts)
	i := slices.IndexFunc(c.losses, func(o core.Loss) bool { return o.Evidence == l.Evidence && slices.Equal(o.Parts, l.Parts) })
	if i >= 0 && l.SentAt.Before(c.losses[i].SentAt) {
		c.losses[i].SentAt = l.SentAt
	}
	if i >= 0 || len(l.Parts) == 0 || len(c.losses) >= maxLosses {
		return false
	}
	c.losses = append(c.losses, l)
	return true
}

// evidence returns the strongest evidence of the crash against a part, and reports whether there is any.
func (c *crash) evidence(part core.PromptPart) (core.Evidence, bool) {
	best, found := core.EvidenceEvents, false
	for _, l := range c.losses {
		if slices.Contains(l.Parts, part) {
			best, found = min(best, l.Evidence), true
		}
	}
	return best, found
}

// explainedBy reports whether an answer explains a loss of the part.
func (c *crash) explainedBy(part core.PromptPart, answer clearing) bool {
	return slices.ContainsFunc(c.losses, func(l core.Loss) bool {
		return slices.Contains(l.Parts, part) && !c.at.After(answer.covers(l.Evidence))
	})
}

// removeExplained removes a part from the losses that an answer explains.
func (c *crash) removeExplained(part core.PromptPart, answer clearing) {
	var left []core.Loss
	for _, l := range c.losses {
		if !c.at.After(answer.covers(l.Evidence)) {
			l.Parts = slices.DeleteFunc(slices.Clone(l.Parts), func(p core.PromptPart) bool { return p == part })
		}
		if len(l.Parts) > 0 {
			left = append(left, l)
		}
	}
	c.losses = left
}

// companions returns the parts that were in all lost prompts with the given part.
func (c *crash) companions(part core.PromptPart) []core.PromptPart {
	var out []core.PromptPart
	first := true
	for _, l := range c.losses {
		switch {
		case !slices.Contains(l.Parts, part):
		case first:
			out, first = slices.Clone(l.Parts), false
		default:
			out = slices.DeleteFunc(out, func(p core.PromptPart) bool { return !slices.Contains(l.Parts, p) })
		}
	}
	return out
}
