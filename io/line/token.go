package line

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"snipeshed/core"
)

const (
	indexMark = `{"i":`
	textMark  = `,"t":"`
	tokenEnd  = `"}`
	eventMark = `{"event":`
	frameEnd  = `}`
	// maxDigits keeps an index below the largest that fits.
	maxDigits = 18
)

// Event reads a line of a generation's stream.
func Event(b []byte, ev *core.Event) error {
	if token(bytes.TrimSuffix(b, []byte{'\n'}), ev) {
		return nil
	}
	return json.Unmarshal(b, ev)
}

// Frame reads a line of a pool owner's answer; ev is the frame's event if it is a plain token.
func Frame(b []byte, f *core.Frame, ev *core.Event) error {
	if rest, ok := bytes.CutPrefix(bytes.TrimSuffix(b, []byte{'\n'}), []byte(eventMark)); ok {
		if rest, ok = bytes.CutSuffix(rest, []byte(frameEnd)); ok && token(rest, ev) {
			f.Event = ev
			return nil
		}
	}
	return json.Unmarshal(b, f)
}

// AppendFrame appends the line of a frame.
func AppendFrame(b []byte, f *core.Frame) ([]byte, error) {
	if ev := f.Event; ev != nil && *f == (core.Frame{Event: ev, More: f.More}) && plainToken(ev) {
		b = append(b, eventMark+indexMark...)
		b = strconv.AppendInt(b, int64(ev.Index), 10)
		b = append(b, textMark...)
		b = append(b, ev.Text...)
		return append(b, tokenEnd+frameEnd+"\n"...), nil
	}
	j, err := json.Marshal(f)
	if err != nil {
		return b, err
	}
	return append(append(b, j...), '\n'), nil
}

func plainToken(ev *core.Event) bool {
	return ev.Text != "" && ev.Index >= 0 && *ev == (core.Event{Index: ev.Index, Text: ev.Text, More: ev.More}) && plainString(ev.Text)
}

// token reads a token in the one form that engines usually write; it reports false for everything else, which may be valid JSON.
func token(b []byte, ev *core.Event) bool {
	rest, ok := bytes.CutPrefix(b, []byte(indexMark))
	if !ok {
		return false
	}
	var n core.Tokens
	i := 0
	for ; i < len(rest) && rest[i] >= '0' && rest[i] <= '9'; i++ {
		n = 10*n + core.Tokens(rest[i]-'0')
	}
	if i == 0 || i > maxDigits || (rest[0] == '0' && i > 1) {
		return false
	}
	if rest, ok = bytes.CutPrefix(rest[i:], []byte(textMark)); !ok {
		return false
	}
	if rest, ok = bytes.CutSuffix(rest, []byte(tokenEnd)); !ok || !plain(rest) {
		return false
	}
	*ev = core.Event{Index: n, Text: string(rest)}
	return true
}

// plain reports whether a JSON string stands for its own bytes.
func plain(b []byte) bool {
	ascii := true
	for _, c := range b {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	return ascii || utf8.Valid(b)
}

func plainString(s string) bool {
	ascii := true
	for i := range len(s) {
		c := s[i]
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	return ascii || utf8.ValidString(s)
}
