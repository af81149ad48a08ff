package admit

import (
	"time"

	"snipeshed/core"
)

const (
	// paceSamples is the number of gaps over which a pace is learned, 10 to 20 s of an engine's steps.
	paceSamples = 1024
	// minPaceSamples is the number of gaps below which a pace counts as unknown.
	minPaceSamples = 64
	// fitEvery is the number of gaps between two fits.
	fitEvery = 32
	// maxPaceGap bounds the gaps that say something about a step; longer ones are stalls of links or engines.
	maxPaceGap = time.Second
	// samePart is the part of a gap within which two tokens count as tokens of the same step.
	samePart = 4
	// callUnit and promptUnit bring running calls and prompt tokens to a similar scale.
	callUnit, promptUnit = 32, 512
	// ridge draws coefficients that the samples don't determine to zero; relative to the number of samples.
	ridge = 1e-3
)

// pace learns the gap between two tokens of a stream as base + running calls x perCall + prompt tokens x perPrompt,
// by least squares over recent gaps. One running call, the probe, is timed; the others have the same steps.
type pace struct {
	probe *running
	last  time.Time // the probe's last token
	// sample is the probe's last gap; first tokens of the same step may come after the probe's token.
	sample sample
	// prompts is the number of prompt tokens computed since the probe's last token.
	prompts core.Tokens

	xx    [3][3]float64
	xy    [3]float64
	count int
	coef  [3]float64 // seconds
	known bool
}

type sample struct {
	at      time.Time
	gap     time.Duration
	calls   int
	prompts core.Tokens
}

// token records that r has one more token, prompt tokens of its prompt having been computed for it.
func (p *pace) token(now time.Time, r *running, prompt core.Tokens, calls int) {
	if prompt > 0 {
		if p.sample.gap > 0 && now.Sub(p.sample.at) < p.sample.gap/samePart {
			p.sample.prompts += prompt
		} else {
			p.prompts += prompt
		}
	}
	switch p.probe {
	case nil:
		p.probe, p.last, p.prompts = r, now, 0
	case r:
		p.flush()
		if gap := now.Sub(p.last); gap > 0 && gap <= maxPaceGap {
			p.sample = sample{at: now, gap: gap, calls: calls, prompts: p.prompts}
		}
		p.last, p.prompts = now, 0
	}
}

// forget ends the timing of a call.
func (p *pace) forget(r *running) {
	if p.probe == r {
		p.flush()
		p.probe = nil
	}
}

// flush takes the last gap into account.
func (p *pace) flush() {
	s := p.sample
	p.sample = sample{}
	if s.gap == 0 {
		return
	}
	const keep = 1 - 1.0/paceSamples
	x := [3]float64{1, float64(s.calls) / callUnit, float64(s.prompts) / promptUnit}
	for i := range x {
		for j := range x {
			p.xx[i][j] = p.xx[i][j]*keep + x[i]*x[j]
		}
		p.xy[i] = p.xy[i]*keep + x[i]*s.gap.Seconds()
	}
	if p.count++; p.count >= minPaceSamples && p.count%fitEvery == 0 {
		p.fit()
	}
}

// fit solves the normal equations; the sums are positive definite because of the ridge.
func (p *pace) fit() {
	a, b := p.xx, p.xy
	for i := 1; i < len(a); i++ {
		a[i][i] += ridge * p.xx[0][0]
	}
	for i := range a {
		for j := i + 1; j < len(a); j++ {
			f := a[j][i] / a[i][i]
			for k := i; k < len(a); k++ {
				a[j][k] -= f * a[i][k]
			}
			b[j] -= f * b[i]
		}
	}
	for i := len(a) - 1; i >= 0; i-- {
		c := b[i]
		for k := i + 1; k < len(a); k++ {
			c -= a[i][k] * p.coef[k]
		}
		p.coef[i] = max(c/a[i][i], 0)
	}
	p.known = true
}

// gap returns the expected gap of a step with running calls and prompt tokens, 0 while it is unknown.
func (p *pace) gap(calls int, prompt core.Tokens) time.Duration {
	if !p.known {
		return 0
	}
	s := p.coef[0] + p.coef[1]*float64(calls)/callUnit + p.coef[2]*float64(prompt)/promptUnit
	return time.Duration(s * float64(time.Second))
}
