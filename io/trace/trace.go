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

// Line is one parsed log line.
type Line struct {
	Time     string            `json:"time"`
	Instance string            `json:"instance"`
	Event    event.Kind        `json:"event"`
	Fields   map[string]string `json:"fields"`
}

// Trace holds the log lines of one request.
type Trace struct {
	Request core.AttemptID `json:"request"`
	Lines   []Line         `json:"lines"`
	// Context holds lines about the endpoints used by the request and about the store, from the instances in Lines.
	Context []Line `json:"context"`
	// Dropped holds the lines that report dropped lines.
	Dropped []Line `json:"dropped"`
}

// contextKinds are the events about endpoints, the store and the instance itself that may explain how a request was handled.
var contextKinds = map[event.Kind]bool{
	event.EndpointLeaving: true, event.Unreachable: true, event.ProbedLeaving: true, event.ProbeFailed: true,
	event.StoreLost: true, event.StoreRegained: true, event.Stopping: true,
}

// maxLineBytes exceeds the longest line that an instance writes.
const maxLineBytes = 1 << 20

// Read collects the lines of a request from the concatenated logs of any instances and sorts them by time.
func Read(r io.Reader, id core.AttemptID) (*Trace, error) {
	t := &Trace{Request: id}
	var others []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
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
	t.addContextLines(others)
	byTime := func(a, b Line) int { return strings.Compare(a.Time, b.Time) }
	slices.SortStableFunc(t.Lines, byTime)
	slices.SortStableFunc(t.Context, byTime)
	return t, nil
}

// addContextLines adds to Context those of others that concern the endpoints and instances of the request.
func (t *Trace) addContextLines(others []Line) {
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

// parse parses a line of key=value pairs, ignoring text before the time, and reports whether the line is an event.
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
		value, s = splitValue(rest)
		l.Fields[key] = value
	}
	l.Time, l.Instance, l.Event = l.Fields["time"], l.Fields["instance"], event.Kind(l.Fields["msg"])
	for _, key := range []string{"time", "instance", "msg", "level"} {
		delete(l.Fields, key)
	}
	return l, l.Event != ""
}

// splitValue splits off the value, quoted or not, at the start of s.
func splitValue(s string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(s); err == nil {
		value, err = strconv.Unquote(quoted)
		if err == nil {
			return value, s[len(quoted):]
		}
	}
	value, rest, _ = strings.Cut(s, " ")
	return value, rest
}

// Write writes the trace as a table with a section for each kind of lines.
func (t *Trace) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	section := func(title string, lines []Line) {
		if len(lines) == 0 {
			return
		}
		fmt.Fprintf(tw, "%s\n", title)
		for _, l := range lines {
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", l.Time, l.Instance, l.Event, l.formatFields())
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

func (l Line) formatFields() string {
	var out []string
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := l.Fields[key]; key != "request" && value != "" {
			out = append(out, key+"="+value)
		}
	}
	return strings.Join(out, " ")
}
