package cli

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

const explainHelp = `Tell the life of one request out of the logs of entry hosts, with what happened
around it to the backend servers, models and hosts that it met.

Example: citronspread explain --log front-1.log --log front-2.log --request 9c41d07be2a35f68`

const (
	// explainBefore and explainAfter bound what counts as around a request: a load from the weight store and
	// the time in which other hosts hear of a change.
	explainBefore = 8 * time.Second
	explainAfter  = 2 * time.Second
	maxLineBytes  = 1 << 20
)

// aroundEvents are the events of backend servers, models and hosts that explain what happened to a request.
var aroundEvents = []string{
	"backend server listed", "backend server gone", "claimed", "deposed", "desired state applied", "entries did not come back", "entry hosts changed",
	"invariant violated", "lead does not answer, deciding here", "no offer", "no report", "not placed", "not renewed", "order", "owner does not answer",
	"ownership lost", "ownership regained", "placed", "spread", "store lost", "store regained", "stopping", "suspect",
}

type explainCommand struct {
	logs    []string
	request string
}

func (c *explainCommand) register(parent parent) *kingpin.CmdClause {
	clause := parent.Command("explain", explainHelp)
	clause.Flag("log", "File of log lines, - for standard input.").Required().PlaceHolder("FILE").StringsVar(&c.logs)
	clause.Flag("request", "ID of the request.").Required().PlaceHolder("ID").StringVar(&c.request)
	return clause
}

// logLine is one line of a log.
type logLine struct {
	at     time.Time
	fields []logField
}

type logField struct{ key, value string }

func (l logLine) get(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

func (c *explainCommand) run(_ context.Context, out output) error {
	var lines []logLine
	unread := 0
	for _, path := range c.logs {
		read, bad, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
		unread += bad
	}
	explained := explain(lines, c.request)
	if len(explained) == 0 {
		return errors.Newf("cli: no line of request %s in %d lines", c.request, len(lines))
	}
	for _, l := range explained {
		fmt.Fprintln(out.stdout, l)
	}
	if unread > 0 {
		fmt.Fprintf(out.stdout, "%d lines could not be read\n", unread)
	}
	return nil
}

func readLog(path string) ([]logLine, int, error) {
	if path == "-" {
		lines, bad := parseLog(os.Stdin)
		return lines, bad, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "cli: log")
	}
	defer file.Close()
	lines, bad := parseLog(file)
	return lines, bad, nil
}

// parseLog reads log lines, also behind a prefix that a collector put before them, and counts those that can't be read.
func parseLog(r io.Reader) (lines []logLine, bad int) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.Index(text, "time=")
		if begin < 0 {
			bad++
			continue
		}
		line, err := parseLine(text[begin:])
		if err != nil {
			bad++
			continue
		}
		lines = append(lines, line)
	}
	if scanner.Err() != nil {
		bad++
	}
	return lines, bad
}

func parseLine(text string) (logLine, error) {
	var line logLine
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.fields = append(line.fields, logField{key: string(decoder.Key()), value: string(decoder.Value())})
		}
	}
	if err := decoder.Err(); err != nil {
		return logLine{}, err
	}
	var err error
	line.at, err = time.Parse(time.RFC3339Nano, line.get("time"))
	return line, err
}

// explain returns the request's own lines and those around it that name what it met, in order.
func explain(lines []logLine, request string) []string {
	var first, last time.Time
	met := make(map[string]bool)
	for _, l := range lines {
		if l.get("Request") != request {
			continue
		}
		if first.IsZero() || l.at.Before(first) {
			first = l.at
		}
		if l.at.After(last) {
			last = l.at
		}
		for _, key := range []string{"Backend", "Model", "Host"} {
			if value := l.get(key); value != "" {
				met[key+"="+value] = true
			}
		}
	}
	if first.IsZero() {
		return nil
	}
	var chosen []logLine
	for _, l := range lines {
		if l.get("Request") == request || isAround(l, first, last, met) {
			chosen = append(chosen, l)
		}
	}
	slices.SortStableFunc(chosen, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	texts := make([]string, 0, len(chosen))
	for _, l := range chosen {
		texts = append(texts, l.text(first, request))
	}
	return texts
}

// isAround reports whether a line tells of something that the request met: its backend servers and model anywhere,
// everything else on its own host.
func isAround(l logLine, first, last time.Time, met map[string]bool) bool {
	if l.at.Before(first.Add(-explainBefore)) || l.at.After(last.Add(explainAfter)) || !slices.Contains(aroundEvents, l.get("event")) {
		return false
	}
	if backend := l.get("Backend"); backend != "" && met["Backend="+backend] {
		return true
	}
	if name := l.get("Model"); name != "" {
		return met["Model="+name]
	}
	return l.get("Backend") == "" && met["Host="+l.get("Host")]
}

func (l logLine) text(first time.Time, request string) string {
	var b strings.Builder
	mark := " "
	if l.get("Request") == request {
		mark = "*"
	}
	fmt.Fprintf(&b, "%s %+9.3f s  %-20s %s:", mark, l.at.Sub(first).Seconds(), l.get("Host"), l.get("event"))
	for _, f := range l.fields {
		switch f.key {
		case "time", "level", "event", "Host", "Request":
			continue
		}
		if f.value != "" {
			fmt.Fprintf(&b, " %s=%s", f.key, f.value)
		}
	}
	return b.String()
}
