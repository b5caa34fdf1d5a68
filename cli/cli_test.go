package cli

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"citronspread/standin"
)

const scribe = `SchemaVersion: 1
Name: scribe
Service: link-scribe
Model: scribe-7b
Version: v1
MemoryMB: 8000
Replicas: 2
Priority: High
`

// invocation is one run of the command line with its expected exit code and a part of its output.
type invocation struct {
	args     []string
	want     int
	contains string
}

// runAll runs the invocations in order and checks each of them.
func runAll(t *testing.T, invocations []invocation) {
	t.Helper()
	for _, c := range invocations {
		var output bytes.Buffer
		got := Run(c.args, &output, &output)
		if got != c.want || !strings.Contains(output.String(), c.contains) {
			t.Errorf("%s: got exit code %d, want %d and %q in the output %.500s", strings.Join(c.args, " "), got, c.want, c.contains, output.String())
		}
	}
}

func writeFile(t *testing.T, name, body string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestUsage(t *testing.T) {
	runAll(t, []invocation{
		{nil, ExitUsage, "command not specified"},
		{[]string{"--help"}, ExitSuccess, "Examples:"},
		{[]string{"--version"}, ExitSuccess, version()},
		{[]string{"serve", "--help"}, ExitSuccess, "--settings"},
		{[]string{"serve"}, ExitUsage, "--settings"},
		{[]string{"serve", "--settings", "missing.yaml"}, ExitUsage, "missing.yaml"},
		{[]string{"check", "--settings", writeFile(t, "s.yaml", "Nmae: a\n")}, ExitUsage, "s.yaml:1: Nmae: expected a known key"},
		{[]string{"gateway", "--settings", "missing.conf"}, ExitUsage, "missing.conf"},
		{[]string{"gateway", "--settings", writeFile(t, "node.conf", "nodeName=n\n")}, ExitUsage, `zone="": expected a value`},
		{[]string{"record", "list", "--store", "store.local:1"}, ExitUsage, "expected IP:port"},
		{[]string{"record"}, ExitUsage, "must select a subcommand"},
		{[]string{"nothing"}, ExitUsage, "nothing"},
	})
}

func TestRecords(t *testing.T) {
	server := httptest.NewServer((&standin.Store{}).Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	file := writeFile(t, "scribe.yaml", scribe)
	broken := writeFile(t, "broken.yaml", strings.Replace(scribe, "High", "Urgent", 1))
	runAll(t, []invocation{
		{[]string{"record", "check", file, broken}, ExitUsage, "broken.yaml:8: Priority: expected one of High, Normal, Low"},
		{[]string{"record", "put", broken, "--store", address}, ExitUsage, "broken.yaml:8"},
		{[]string{"record", "get", "scribe", "--store", address}, ExitFailure, "no record scribe"},
		{[]string{"record", "put", file, "--store", address, "--revision", "7"}, ExitConflict, "revision 0"},
		{[]string{"record", "put", file, "--store", address, "--revision", "0"}, ExitSuccess, "revision 1, generation 1"},
		{[]string{"record", "put", file, "--store", address, "--revision", "0"}, ExitConflict, "revision 1, generation 1"},
		{[]string{"record", "put", file, "--store", address}, ExitSuccess, "revision 2, generation 2"},
		{[]string{"record", "retire", "scribe", "--store", address, "--revision", "1"}, ExitConflict, "revision 2"},
		{[]string{"record", "retire", "scribe", "--store", address, "--revision", "2"}, ExitSuccess, "generation 3"},
		{[]string{"record", "retire", "scribe", "--store", address}, ExitSuccess, "already retired"},
		{[]string{"record", "get", "scribe", "--store", address}, ExitSuccess, "Model: scribe-7b"},
		{[]string{"record", "list", "--store", address}, ExitSuccess, "retired"},
		{[]string{"record", "list", "--store", "127.0.0.1:1"}, ExitUnavailable, "unavailable"},
	})
}

// TestRecordPutLostResponse guards against record put failing when the write took effect but its response was lost.
func TestRecordPutLostResponse(t *testing.T) {
	fake := &standin.Store{}
	server := httptest.NewServer(fake.Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	fake.SetFault(standin.StoreFault{LoseAnswers: 1})
	runAll(t, []invocation{
		{[]string{"record", "put", writeFile(t, "scribe.yaml", scribe), "--store", address}, ExitSuccess, "revision 1, generation 1"},
	})
}

// TestLogStaysOnOneLine guards against errors that break a log event into several lines, by a line break in their text
// or by a stack trace.
func TestLogStaysOnOneLine(t *testing.T) {
	var output bytes.Buffer
	logger, err := newLogger("Info", &output)
	if err != nil {
		t.Fatal(err)
	}
	logger.Info("two words", zap.Error(&AddressError{Flag: "a", Value: "b\nc"}))
	got := output.String()
	if strings.Count(got, "\n") != 1 || !strings.Contains(got, `event="two words"`) {
		t.Errorf("got %q, want one line with the event", got)
	}
}

// TestLogOfInlineFields guards against fields of one event that are logged as a nested value, in which explain finds nothing.
func TestLogOfInlineFields(t *testing.T) {
	var output bytes.Buffer
	logger, buffer, err := newBufferedLogger("Info", &output)
	if err != nil {
		t.Fatal(err)
	}
	logger.Info("granted", zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddString("Workspace", "w")
		e.AddFloat64("Counter", 1234567)
		return nil
	})), zap.Skip())
	buffer.Close(time.Second)
	if got, want := output.String(), "event=granted Workspace=w Counter=1234567\n"; !strings.HasSuffix(got, want) {
		t.Errorf("got %q, want it to end with %q", got, want)
	}
}
