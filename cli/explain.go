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

const explainHelp = `Print the log lines of one request from the logs of entry hosts in order of time, together with
nearby events of the backend servers, models and hosts that handled it.

Example: citronspread explain --log front-1.log --log front-2.log --request 9c41d07be2a35f68`

const (
	// windowBefore is how long before the first line of a request related events are included. It covers a load from the
	// weight store.
	windowBefore = 8 * time.Second
	// windowAfter is how long after the last line of a request related events are included. Other hosts receive a change
	// within this time.
	windowAfter = 2 * time.Second
	// turnWindow is how long before a request that was refused for its turn grants of other workspaces are included.
	turnWindow   = 2 * time.Second
	maxLineBytes = 1 << 20
	// withheldFields is the number of fields after the backend server in an entry of Withheld.
	withheldFields = 2
)

// relatedEvents are the events of backend servers, models, workspaces and hosts that can explain what happened to a request. The
// texts must match the log messages, including those of earlier builds.
var relatedEvents = []string{
	"allowance", "back-off stated", "backend server leaving", "backend server listed", "backend server gone", "claimed", "deposed", "desired state applied", "desired state not valid, the last one stays in force", "entries did not come back", "entry hosts changed",
	"invariant violated", "lead does not answer, deciding here", "leaving stated", "limit stated", "limit withdrawn", "no allowance", "no offer", "no report", "not placed", "not renewed", "order", "owner does not answer",
	"ownership lost", "ownership regained", "placed", "prompt part blocked", "prompt part no longer blocked", "spread", "statement not read", "store lost", "store regained",
	"leading cap", "no reply about a cap", "share lent", "stopping", "suspect", "workspaces changed", "zone on its own share",
}

type explainCommand struct {
	logs    []string
	request string
}

func (c *explainCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("explain", explainHelp)
	clause.Flag("log", "Log file, - for standard input.").Required().PlaceHolder("FILE").StringsVar(&c.logs)
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
	unreadable := 0
	for _, path := range c.logs {
		read, bad, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
		unreadable += bad
	}
	explained := explain(lines, c.request)
	if len(explained) == 0 {
		return errors.Newf("cli: no line of request %s found in %d log lines", c.request, len(lines))
	}
	for _, l := range explained {
		fmt.Fprintln(out.stdout, l)
	}
	if unreadable > 0 {
		fmt.Fprintf(out.stdout, "%d lines could not be read\n", unreadable)
	}
	return nil
}

// readLog returns the lines of a log file and the number of lines that could not be parsed.
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

// parseLog parses log lines and counts those that can't be parsed. It skips what a log collector put before "time=".
func parseLog(r io.Reader) (lines []logLine, bad int) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.Index(text, "time=")
		if start < 0 {
			bad++
			continue
		}
		line, err := parseLine(text[start:])
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

// explain returns the lines of a request and the related events of its backend servers, model, workspace and hosts, sorted by
// time.
func explain(lines []logLine, request string) []string {
	var first, last time.Time
	isTurnRefused := false
	involved := make(map[string]bool) // key=value of each backend server, model, workspace and host in the request's lines
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
		isTurnRefused = isTurnRefused || l.get("event") == "turn refused"
		for _, key := range []string{"Backend", "Model", "Workspace", "Host"} {
			if value := l.get(key); value != "" {
				involved[key+"="+value] = true
			}
		}
		if limited := l.get("Limited"); limited != "" {
			for _, backend := range strings.Split(limited, ",") {
				involved["Backend="+backend] = true
			}
		}
		for _, backend := range withheldBackends(l.get("Withheld")) {
			involved["Backend="+backend] = true
		}
	}
	if first.IsZero() {
		return nil
	}
	var selected []logLine
	for _, l := range lines {
		if l.get("Request") == request || isRelated(l, first, last, involved) || isTurnRefused && isTurnBefore(l, first, last, involved) {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	texts := make([]string, 0, len(selected))
	for _, l := range selected {
		texts = append(texts, l.text(first, request))
	}
	return texts
}

// withheldBackends returns the backend servers of a list of BACKEND:STATEMENT:AGE.
func withheldBackends(withheld string) (backends []string) {
	for _, entry := range strings.Split(withheld, ",") {
		if parts := strings.Split(entry, ":"); len(parts) > withheldFields {
			backends = append(backends, strings.Join(parts[:len(parts)-withheldFields], ":"))
		}
	}
	return backends
}

// isRelated reports whether a line is a related event of the request. An event of one of its backend servers, models or its
// workspace counts on any host. An event that names none of these counts only on the hosts that logged the request.
func isRelated(l logLine, first, last time.Time, involved map[string]bool) bool {
	if l.at.Before(first.Add(-windowBefore)) || l.at.After(last.Add(windowAfter)) || !slices.Contains(relatedEvents, l.get("event")) {
		return false
	}
	if backend := l.get("Backend"); backend != "" && involved["Backend="+backend] {
		return true
	}
	if name := l.get("Model"); name != "" {
		return involved["Model="+name]
	}
	if workspace := l.get("Workspace"); workspace != "" {
		return involved["Workspace="+workspace]
	}
	return l.get("Backend") == "" && involved["Host="+l.get("Host")]
}

// isTurnBefore reports whether a line is a grant of a workspace for the same model, on a host that logged the request, while
// the request waited or shortly before.
func isTurnBefore(l logLine, first, last time.Time, involved map[string]bool) bool {
	return l.get("event") == "granted" && l.get("Workspace") != "" && involved["Model="+l.get("Model")] && involved["Host="+l.get("Host")] &&
		!l.at.Before(first.Add(-turnWindow)) && !l.at.After(last)
}

// text formats a line with its time relative to first. An asterisk marks the lines of the request itself.
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
