package runner

import (
	"fmt"
	"hash/fnv"
	"regexp"
	"strconv"
	"strings"

	"snipeshed/core"
)

// TokenText returns the text of one token: generation, hash of the request id, mark if any, and index.
func TokenText(id core.GenerationID, req core.RequestID, mark string, i core.Tokens) string {
	return tokenPrefix(id, req, mark) + strconv.FormatInt(int64(i), 10) + " "
}

func tokenPrefix(id core.GenerationID, req core.RequestID, mark string) string {
	s := string(id) + "." + requestTag(req) + "."
	if mark != "" {
		s += mark + "."
	}
	return s
}

func requestTag(req core.RequestID) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(req))
	return fmt.Sprintf("%08x", h.Sum32())
}

// CheckText checks that text consists of the tokens 0, 1, ... of one generation, and returns their number.
// An empty request or mark is not checked.
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
			return 0, fmt.Errorf("token %d is of %q, but token 0 is of %q", i, prefix, first)
		}
		if index != strconv.Itoa(i) {
			return 0, fmt.Errorf("token %d has index %q", i, index)
		}
	}
	parts := strings.Split(first, ".")
	if len(parts) < 2 || len(parts) > 3 {
		return 0, fmt.Errorf("%q is not the text of a token", fields[0])
	}
	if req != "" && parts[1] != requestTag(req) {
		return 0, fmt.Errorf("answer %q is not for request %q", first, req)
	}
	if mark != "" && parts[len(parts)-1] != mark {
		return 0, fmt.Errorf("answer %q does not have mark %q", first, mark)
	}
	return core.Tokens(len(fields)), nil
}

var directive = regexp.MustCompile(`\[(output|mark)=([A-Za-z0-9_-]+)\]`)

// directives returns the output length and the mark that a prompt asks for.
func directives(prompt string) (output core.Tokens, mark string) {
	for _, m := range directive.FindAllStringSubmatch(prompt, -1) {
		if m[1] == "mark" {
			mark = m[2]
		} else if n, err := strconv.ParseInt(m[2], 10, 64); err == nil {
			output = core.Tokens(n)
		}
	}
	return output, mark
}
