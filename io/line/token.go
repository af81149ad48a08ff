package line

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"snipeshed/core"
)

const (
	indexPrefix = `{"i":`
	textPrefix  = `,"t":"`
	tokenSuffix = `"}`
	eventPrefix = `{"event":`
	frameSuffix = `}`
	// maxIndexDigits is the number of decimal digits that always fit into an int64.
	maxIndexDigits = 18
)

// DecodeEvent decodes a line of a generation's stream into ev.
func DecodeEvent(b []byte, ev *core.Event) error {
	if parseToken(bytes.TrimSuffix(b, []byte{'\n'}), ev) {
		return nil
	}
	return json.Unmarshal(b, ev)
}

// DecodeFrame decodes a line of a pool owner's answer into f; a plain token is decoded into ev, and f.Event points to it.
func DecodeFrame(b []byte, f *core.Frame, ev *core.Event) error {
	if rest, ok := bytes.CutPrefix(bytes.TrimSuffix(b, []byte{'\n'}), []byte(eventPrefix)); ok {
		if rest, ok = bytes.CutSuffix(rest, []byte(frameSuffix)); ok && parseToken(rest, ev) {
			f.Event = ev
			return nil
		}
	}
	return json.Unmarshal(b, f)
}

// AppendFrame appends a frame as a JSON line to b.
func AppendFrame(b []byte, f *core.Frame) ([]byte, error) {
	if ev := f.Event; ev != nil && *f == (core.Frame{Event: ev, More: f.More}) && isPlainToken(ev) {
		b = append(b, eventPrefix+indexPrefix...)
		b = strconv.AppendInt(b, int64(ev.Index), 10)
		b = append(b, textPrefix...)
		b = append(b, ev.Text...)
		return append(b, tokenSuffix+frameSuffix+"\n"...), nil
	}
	j, err := json.Marshal(f)
	if err != nil {
		return b, err
	}
	return append(append(b, j...), '\n'), nil
}

// isPlainToken reports whether the event is only an index and a text that needs no JSON escapes.
func isPlainToken(ev *core.Event) bool {
	return ev.Text != "" && ev.Index >= 0 && *ev == (core.Event{Index: ev.Index, Text: ev.Text, More: ev.More}) && needsNoEscapeString(ev.Text)
}

// parseToken decodes a token in the exact form that engines usually write. It returns false for any other input, which may
// still be valid JSON.
func parseToken(b []byte, ev *core.Event) bool {
	rest, ok := bytes.CutPrefix(b, []byte(indexPrefix))
	if !ok {
		return false
	}
	var n core.Tokens
	i := 0
	for ; i < len(rest) && rest[i] >= '0' && rest[i] <= '9'; i++ {
		n = 10*n + core.Tokens(rest[i]-'0')
	}
	if i == 0 || i > maxIndexDigits || (rest[0] == '0' && i > 1) {
		return false
	}
	if rest, ok = bytes.CutPrefix(rest[i:], []byte(textPrefix)); !ok {
		return false
	}
	if rest, ok = bytes.CutSuffix(rest, []byte(tokenSuffix)); !ok || !needsNoEscape(rest) {
		return false
	}
	*ev = core.Event{Index: n, Text: string(rest)}
	return true
}

// needsNoEscape reports whether a text and its JSON string have the same bytes: it is valid UTF-8 and needs no escapes.
func needsNoEscape(b []byte) bool {
	ascii := true
	for _, c := range b {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	return ascii || utf8.Valid(b)
}

func needsNoEscapeString(s string) bool {
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
