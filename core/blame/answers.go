package blame

import (
	"time"

	"snipeshed/core"
)

const (
	// answerSpan is the time over which answers are remembered; those of the span before it are too. Losses at a host that falls
	// silent are noticed seconds after the crash.
	answerSpan         = 10 * time.Second
	maxRememberedParts = 2048
)

// recentAnswers holds when parts of prompts were last answered, whether they are suspected or not.
type recentAnswers struct {
	now, before map[core.PromptPart]clearing
	startedAt   time.Time // of the answers in now
}

// add adds an answer to a prompt with a part.
func (a *recentAnswers) add(part core.PromptPart, c clearing) {
	if c.at.Sub(a.startedAt) > answerSpan {
		a.before = a.now
		if c.at.Sub(a.startedAt) > 2*answerSpan {
			a.before = nil
		}
		a.now, a.startedAt = map[core.PromptPart]clearing{}, c.at
	}
	if old, ok := a.now[part]; ok || len(a.now) < maxRememberedParts && len(part) <= maxPartBytes {
		c.completeAt = core.Later(old.completeAt, c.completeAt)
		a.now[part] = c
	}
}

// find returns the last answer to a prompt with a part.
func (a *recentAnswers) find(part core.PromptPart) clearing {
	c := a.now[part]
	old := a.before[part]
	return clearing{at: core.Later(old.at, c.at), completeAt: core.Later(old.completeAt, c.completeAt)}
}
