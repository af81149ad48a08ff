package runner

import (
	"fmt"
	"hash/fnv"
	"regexp"
	"strconv"
	"strings"

	"snipeshed/core"
)

// TokenText returns the text of one token: generation ID, hash of the request ID, mark if any, and index, separated by dots.
func TokenText(id core.GenerationID, req core.RequestID, mark string, i core.Tokens) string {
	return tokenPrefix(id, req, mark) + strconv.FormatInt(int64(i), 10) + " "
}

func tokenPrefix(id core.GenerationID, req core.RequestID, mark string) string {
	s := string(id) + "." + requestHash(req) + "."
	if mark != "" {
		s += mark + "."
	}
	return s
}

func requestHash(req core.RequestID) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(req))
	return fmt.Sprintf("%08x", h.Sum32())
}

// CheckText returns the number of tokens in text, or an error unless they are the tokens 0, 1, ... of one generation of the
// request with the mark. An empty request or mark is not checked.
func CheckText(text string, req core.RequestID, mark string) (core.Tokens, error) {
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return 0, nil
	}
	var first string
	for i, f := range fields {
		dot := strings.LastIndexByte(f, '.')
		prefix, index := f[:max(dot, 0)], f[dot+1:]
		if i == 0 {
			first = prefix
		}
		if prefix != first {
			return 0, fmt.Errorf("token %d has prefix %q, but token 0 has prefix %q", i, prefix, first)
		}
		if index != strconv.Itoa(i) {
			return 0, fmt.Errorf("token %d has index %q", i, index)
		}
	}
	parts := strings.Split(first, ".")
	if len(parts) < 2 || len(parts) > 3 {
		return 0, fmt.Errorf("%q is not a token text of the form generation.request[.mark].index", fields[0])
	}
	if req != "" && parts[1] != requestHash(req) {
		return 0, fmt.Errorf("token prefix %q is not that of request %q", first, req)
	}
	if mark != "" && parts[len(parts)-1] != mark {
		return 0, fmt.Errorf("token prefix %q does not have mark %q", first, mark)
	}
	return core.Tokens(len(fields)), nil
}

var directivePattern = regexp.MustCompile(`\[(output|mark)=([A-Za-z0-9_-]+)\]`)

// parseDirectives returns the output length and the mark set by a prompt's directives, or zero values.
func parseDirectives(prompt string) (output core.Tokens, mark string) {
	for _, m := range directivePattern.FindAllStringSubmatch(prompt, -1) {
		if m[1] == "mark" {
			mark = m[2]
		} else if n, err := strconv.ParseInt(m[2], 10, 64); err == nil {
			output = core.Tokens(n)
		}
	}
	return output, mark
}
