package broken

import (
	"fmt"
	"regexp"
	"strings"
)

// Head is a way in which the head of an answer is malformed.
type Head struct {
	Name  string
	spoil func(answer string) string
}

// Spoil returns an answer with its head malformed.
func (h Head) Spoil(answer string) string { return h.spoil(answer) }

// Heads returns all heads but the folded ones, which only the bytes of an answer show, not what a parser makes of them.
func Heads() []Head { return append(Statuses(), Names()...) }

// Statuses returns the heads whose status HTTP does not define, or that no request asks for.
func Statuses() []Head {
	var out []Head
	for _, code := range []string{"000", "007", "099", "+99", "101", "600", "999"} {
		out = append(out, Head{"status " + code, func(answer string) string { return setStatus(answer, code) }})
	}
	return out
}

// Names returns the heads in which a field has a name that is no token: a blank, a control byte or another byte that names do not
// have stands in it. The blank is not at its start, where it would continue the line before.
func Names() []Head {
	out := []Head{
		{"blank before the colon of the framing", func(answer string) string { return framing.ReplaceAllString(answer, "\r\n$1 :") }},
		{"blank in the name of the framing", func(answer string) string { return framing.ReplaceAllString(answer, "\r\nX $1:") }},
	}
	for _, c := range []byte(" \t\x00\x01\x0b\x1f\x7f\xe9(") {
		for _, name := range []string{"X%cBroken", "XBroken%c"} {
			line := fmt.Sprintf("%s: 1", strings.Replace(name, "%c", string([]byte{c}), 1))
			out = append(out, Head{fmt.Sprintf("line %q", line), func(answer string) string { return addLine(answer, line) }})
		}
	}
	return out
}

// Folds returns the heads in which a field's name begins with a blank or a tab. Read as in RFC 2616, such a line continues the value of
// the line before.
func Folds() []Head {
	return []Head{
		{"blank before the framing", func(answer string) string { return framing.ReplaceAllString(answer, "\r\n $1:") }},
		{"tab before the framing", func(answer string) string { return framing.ReplaceAllString(answer, "\r\n\t$1:") }},
		{"blank before another name", func(answer string) string { return addLine(answer, "X-Line: 1\r\n X-Broken: 1") }},
		{"blank before the first name", func(answer string) string { return addLine(answer, " X-Broken: 1") }},
	}
}

// framing matches the name of the field that tells the end of the body.
var framing = regexp.MustCompile(`\r\n(Content-Length|Transfer-Encoding):`)

const protocolBytes = len("HTTP/1.1 ")

func setStatus(answer, code string) string {
	return answer[:protocolBytes] + code + answer[protocolBytes+len(code):]
}

// addLine adds lines after the status line.
func addLine(answer, line string) string {
	return strings.Replace(answer, "\r\n", "\r\n"+line+"\r\n", 1)
}
