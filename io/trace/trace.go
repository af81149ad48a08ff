package trace

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"snipeshed/core"
	"snipeshed/io/event"
)

// Line is one log line.
type Line struct {
	Time     string            `json:"time"`
	Instance string            `json:"instance"`
	Event    event.Kind        `json:"event"`
	Fields   map[string]string `json:"fields"`
}

// Trace is what the logs say of one request.
type Trace struct {
	Request core.AttemptID `json:"request"`
	Lines   []Line         `json:"lines"`
	// Context holds lines about the endpoints that the request met, from the instances that it met.
	Context []Line `json:"context"`
	// Dropped holds lines which tell that other lines are missing.
	Dropped []Line `json:"dropped"`
}

// contextKinds are the events that explain what an instance believed of an endpoint.
var contextKinds = map[event.Kind]bool{
	event.EndpointLeft: true, event.Unreachable: true, event.ProbedLeaving: true, event.ProbeFailed: true,
	event.StoreLost: true, event.StoreRegained: true, event.Stopping: true,
}

// maxLine is longer than any line that an instance writes.
const maxLine = 1 << 20

// Read gathers the lines of a request from logs of any instances, in any order.
func Read(r io.Reader, id core.AttemptID) (*Trace, error) {
	t := &Trace{Request: id}
	var others []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		l, ok := parse(s.Text())
		switch {
		case !ok:
		case l.Fields["request"] == string(id):
			t.Lines = append(t.Lines, l)
		case l.Event == event.LinesDropped:
			t.Dropped = append(t.Dropped, l)
		case contextKinds[l.Event]:
			others = append(others, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	t.addContext(others)
	byTime := func(a, b Line) int { return strings.Compare(a.Time, b.Time) }
	slices.SortStableFunc(t.Lines, byTime)
	slices.SortStableFunc(t.Context, byTime)
	return t, nil
}

// addContext keeps the lines about the endpoints and instances of the request.
func (t *Trace) addContext(others []Line) {
	endpoints, instances := map[string]bool{}, map[string]bool{}
	for _, l := range t.Lines {
		instances[l.Instance] = true
		for _, name := range []string{"endpoint", "target", "backup"} {
			endpoints[l.Fields[name]] = true
		}
	}
	for _, l := range others {
		about := l.Fields["endpoint"]
		if instances[l.Instance] && (about == "" || endpoints[about]) {
			t.Context = append(t.Context, l)
		}
	}
}

// parse reads a line of key=value pairs; text before the first pair is left out.
func parse(s string) (Line, bool) {
	start := strings.Index(s, "time=")
	if start < 0 {
		return Line{}, false
	}
	l := Line{Fields: map[string]string{}}
	for s = s[start:]; s != ""; s = strings.TrimLeft(s, " ") {
		key, rest, ok := strings.Cut(s, "=")
		if !ok {
			break
		}
		value := ""
		value, s = cutValue(rest)
		l.Fields[key] = value
	}
	l.Time, l.Instance, l.Event = l.Fields["time"], l.Fields["instance"], event.Kind(l.Fields["msg"])
	for _, key := range []string{"time", "instance", "msg", "level"} {
		delete(l.Fields, key)
	}
	return l, l.Event != ""
}

// cutValue splits a value, which may be quoted, from the rest of a line.
func cutValue(s string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(s); err == nil {
		value, err = strconv.Unquote(quoted)
		if err == nil {
			return value, s[len(quoted):]
		}
	}
	value, rest, _ = strings.Cut(s, " ")
	return value, rest
}

// Write writes the lines as a table.
func (t *Trace) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	section := func(title string, lines []Line) {
		if len(lines) == 0 {
			return
		}
		fmt.Fprintf(tw, "%s\n", title)
		for _, l := range lines {
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", l.Time, l.Instance, l.Event, l.details())
		}
	}
	section(fmt.Sprintf("request %s", t.Request), t.Lines)
	section("what its instances learned of its endpoints and the store", t.Context)
	section("lines are missing from these logs", t.Dropped)
	if len(t.Lines) == 0 {
		fmt.Fprintf(tw, "no line names request %s; check the id and the time span of the logs\n", t.Request)
	}
	return tw.Flush()
}

func (l Line) details() string {
	var out []string
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := l.Fields[key]; key != "request" && value != "" {
			out = append(out, key+"="+value)
		}
	}
	return strings.Join(out, " ")
}
