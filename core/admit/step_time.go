package admit

import (
	"time"

	"snipeshed/core"
)

const (
	// gapWindow is the number of recent gaps that the model averages over: 10 to 20 s of an engine's steps.
	gapWindow = 1024
	// minGapSamples is the number of gaps below which step times are unknown.
	minGapSamples = 64
	// fitInterval is the number of gaps between two fits of the coefficients.
	fitInterval = 32
	// maxStepGap is the longest gap that is taken for a step; longer ones are stalls of the network or the engine.
	maxStepGap = time.Second
	// sameStepDivisor divides a gap: tokens that arrive closer together than that are tokens of the same step.
	sameStepDivisor = 4
	// callScale and promptScale scale the numbers of running calls and prompt tokens to a similar range.
	callScale, promptScale = 32, 512
	// ridge is the strength of the ridge regularization relative to the number of samples; it pulls coefficients that the
	// samples don't determine to zero.
	ridge = 1e-3
)

// stepTimeModel predicts the duration of an engine's step, which is the gap between two tokens of a stream.
//
// The model is base + running calls x perCall + prompt tokens x perPrompt, fitted by least squares to recent gaps. Only
// one running call, the probe, is timed, because all calls of an engine share its steps.
type stepTimeModel struct {
	probe     *runningCall
	lastToken time.Time // arrival of the probe's last token
	// sample is the probe's last gap; it is kept open because first tokens of the same step may arrive after the
	// probe's token.
	sample gapSample
	// pendingPrompts is the number of prompt tokens computed since the probe's last token.
	pendingPrompts core.Tokens

	// xx and xy are the sums of the normal equations.
	xx           [3][3]float64
	xy           [3]float64
	samples      int
	coefficients [3]float64 // base, perCall and perPrompt in seconds per scaled unit
	known        bool
}

// gapSample is one timed gap with the work that the engine did in it.
type gapSample struct {
	at      time.Time
	gap     time.Duration
	calls   int
	prompts core.Tokens
}

// recordToken records that r has generated a token at an engine with calls decoding calls; prompt is the number of
// prompt tokens that were computed for it.
func (m *stepTimeModel) recordToken(now time.Time, r *runningCall, prompt core.Tokens, calls int) {
	if prompt > 0 {
		if m.sample.gap > 0 && now.Sub(m.sample.at) < m.sample.gap/sameStepDivisor {
			m.sample.prompts += prompt
		} else {
			m.pendingPrompts += prompt
		}
	}
	switch m.probe {
	case nil:
		m.probe, m.lastToken, m.pendingPrompts = r, now, 0
	case r:
		m.addSample()
		if gap := now.Sub(m.lastToken); gap > 0 && gap <= maxStepGap {
			m.sample = gapSample{at: now, gap: gap, calls: calls, prompts: m.pendingPrompts}
		}
		m.lastToken, m.pendingPrompts = now, 0
	}
}

// stopTiming stops timing a call if it is the probe.
func (m *stepTimeModel) stopTiming(r *runningCall) {
	if m.probe == r {
		m.addSample()
		m.probe = nil
	}
}

// addSample adds the last gap to the sums of the regression.
func (m *stepTimeModel) addSample() {
	s := m.sample
	m.sample = gapSample{}
	if s.gap == 0 {
		return
	}
	const keep = 1 - 1.0/gapWindow
	x := [3]float64{1, float64(s.calls) / callScale, float64(s.prompts) / promptScale}
	for i := range x {
		for j := range x {
			m.xx[i][j] = m.xx[i][j]*keep + x[i]*x[j]
		}
		m.xy[i] = m.xy[i]*keep + x[i]*s.gap.Seconds()
	}
	if m.samples++; m.samples >= minGapSamples && m.samples%fitInterval == 0 {
		m.fit()
	}
}

// fit solves the normal equations by Gaussian elimination; the matrix is positive definite because of the ridge.
func (m *stepTimeModel) fit() {
	a, b := m.xx, m.xy
	for i := 1; i < len(a); i++ {
		a[i][i] += ridge * m.xx[0][0]
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
			c -= a[i][k] * m.coefficients[k]
		}
		m.coefficients[i] = max(c/a[i][i], 0)
	}
	m.known = true
}

// expectedGap returns the expected duration of a step with running calls and prompt tokens, 0 while it is unknown.
func (m *stepTimeModel) expectedGap(calls int, prompt core.Tokens) time.Duration {
	if !m.known {
		return 0
	}
	s := m.coefficients[0] + m.coefficients[1]*float64(calls)/callScale + m.coefficients[2]*float64(prompt)/promptScale
	return time.Duration(s * float64(time.Second))
}
