package broken

// Head is a way in which the head of an answer is malformed.
type Head struct {
	Name  string
	spoil func(answer string) string
}

// Spoil returns an answer with its head malformed.
func (h Head) Spoil(answer string) string { return h.spoil(answer) }

// Statuses returns the heads whose status HTTP does not define, or that no request asks for.
func Statuses() []Head {
	var out []Head
	for _, code := range []string{"000", "007", "099", "+99", "101", "600", "999"} {
		out = append(out, Head{"status " + code, func(answer string) string { return setStatus(answer, code) }})
	}
	return out
}

const protocolBytes = len("HTTP/1.1 ")

func setStatus(answer, code string) string {
	return answer[:protocolBytes] + code + answer[protocolBytes+len(code):]
}
