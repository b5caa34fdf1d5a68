package faults

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var (
	binary       = flag.String("faults-binary", "", "path of the built program; TestFaults is skipped if empty")
	naive        = flag.Bool("faults-naive", false, "run TestNaiveHostIsCaught")
	seed         = flag.Uint64("faults-seed", 1, "seed of the schedule")
	seconds      = flag.Int("faults-seconds", 40, "length of the run in seconds")
	except       = flag.String("faults-except", "", "comma-separated kinds of faults to leave out")
	logDirectory = flag.String("faults-logs", "", "directory for the entry hosts' logs and state dumps")
)

// TestFaults runs entry hosts as processes under a seeded schedule of faults. It fails if a guarantee was breached.
func TestFaults(t *testing.T) {
	if *binary == "" {
		t.Skip("no -faults-binary: use make faults")
	}
	running := newProcesses(t, *binary)
	if *logDirectory != "" {
		running.directory = *logDirectory
	}
	run := &Run{
		Seed:     *seed,
		Duration: time.Duration(*seconds) * time.Second,
		WarmUp:   4 * time.Second,
		CoolDown: 10 * time.Second,

		RecoveryTimeout: 20 * time.Second,
		ConfigInterval:  time.Second,

		SettingsDirectory: filepath.Join(t.TempDir(), "settings"),
		DumpDirectory:     *logDirectory,
		ExcludedFaults:    strings.Split(*except, ","),
		Processes:         running,
		Log:               func(format string, values ...any) { fmt.Fprintf(os.Stderr, format+"\n", values...) },
	}
	fmt.Printf("faults: seed %d, %d s\n", *seed, *seconds)
	tally, err := run.Execute(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range tally.Report() {
		fmt.Println(line)
	}
	if tally.Breached() {
		t.Fail()
	}
}
