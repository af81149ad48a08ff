package member

import (
	"cmp"
	"slices"
	"time"

	"snipeshed/core"
	"snipeshed/wire"
)

// word is what an instance said of itself. Within one run it never takes back
// that it leaves, so digests that cross on the way do no harm.
type word struct {
	run     uint64
	leaving bool
	heard   time.Time
	// news is set when the word changed whether the instance leaves.
	news bool
}

// Hear takes what an instance itself says and reports whether it was news.
func (m *Member) Hear(now time.Time, id core.InstanceID, run uint64, leaving bool) bool {
	return m.hear(now, id, run, leaving, true)
}

// HearOf takes an instance's word that another one passed on and reports whether it was news.
func (m *Member) HearOf(now time.Time, w *wire.Word) bool {
	return m.hear(now, core.InstanceID(w.GetId()), w.GetRun(), w.GetLeaving(), false)
}

func (m *Member) hear(now time.Time, id core.InstanceID, run uint64, leaving, direct bool) bool {
	m.mu.RLock()
	old, found := m.words[id]
	m.mu.RUnlock()
	if !m.heardNews(old, found, run, leaving, direct) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old, found = m.words[id]
	if !m.heardNews(old, found, run, leaving, direct) {
		return false
	}
	news := leaving != old.leaving
	m.words[id] = word{run: run, leaving: leaving, heard: now, news: news}
	return news
}

// heardNews compares runs by the start time of the instance's process. A word
// from the instance itself replaces that of any other run, because its clock
// may have been set back between two runs.
func (m *Member) heardNews(old word, found bool, run uint64, leaving, direct bool) bool {
	switch {
	case !found:
		return direct || leaving
	case run == old.run:
		return leaving && !old.leaving
	default:
		return direct || run > old.run
	}
}

// Words returns the words heard within a time by which an instance leaves or is back after a new start.
func (m *Member) Words(now time.Time, within time.Duration) []*wire.Word {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var words []*wire.Word
	for id, w := range m.words {
		if w.news && now.Sub(w.heard) <= within {
			words = append(words, &wire.Word{Id: string(id), Run: w.run, Leaving: w.leaving})
		}
	}
	slices.SortFunc(words, func(a, b *wire.Word) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return words
}

// Leaving reports whether an instance said that it leaves or the list says so.
func (m *Member) Leaving(id core.InstanceID) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	i, found := m.find(id)
	return m.words[id].leaving || found && !m.fleet[i].live
}
