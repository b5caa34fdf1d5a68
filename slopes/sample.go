package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTicksPerSecond is the number of clock ticks per second, the unit of processor times in /proc.
const clockTicksPerSecond = 100

// Sample holds the resource use of an entry host since its start, except ResidentBytes, which is the current value.
type Sample struct {
	At            time.Time
	ProcessorTime time.Duration
	ResidentBytes int64
	PeerBytes     int64 // received and sent
	PeerCalls     int64
	LedgerSteps   int64 // of the ledger's state machine
}

// TakeSample reads the resource use of an entry host from /proc and from its /debug/vars endpoint.
func TakeSample(ctx context.Context, now time.Time, pid int, name, operatorAddress string) (Sample, error) {
	sample := Sample{At: now}
	var err error
	if sample.ProcessorTime, err = readProcessorTime(pid); err != nil {
		return sample, err
	}
	if sample.ResidentBytes, err = readResidentMemory(pid); err != nil {
		return sample, err
	}
	vars, err := readVars(ctx, name, operatorAddress)
	if err != nil {
		return sample, err
	}
	sample.PeerBytes = vars.PeerBytesReceived + vars.PeerBytesSent
	sample.PeerCalls = vars.PeerCalls
	sample.LedgerSteps = vars.LedgerSteps
	return sample, nil
}

// readProcessorTime returns the processor time of a process in user and system mode.
func readProcessorTime(pid int) (time.Duration, error) {
	line, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrapf(err, "slopes: read processor time of process %d", pid)
	}
	const userField, systemField = 11, 12 // after the process name
	_, rest, _ := strings.Cut(string(line), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0, errors.Newf("slopes: too few fields in /proc/%d/stat", pid)
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	ticks := time.Duration(user + system)
	return ticks * time.Second / clockTicksPerSecond, errors.CombineErrors(userErr, systemErr)
}

// readResidentMemory returns the resident memory of a process.
func readResidentMemory(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrapf(err, "slopes: read memory of process %d", pid)
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, errors.Newf("slopes: no VmRSS in /proc/%d/status", pid)
}

// hostVars holds the sampled variables of an entry host.
type hostVars struct {
	PeerBytesReceived int64
	PeerBytesSent     int64
	PeerCalls         int64
	LedgerSteps       int64
}

// readVars reads the variables of an entry host from its operators' endpoint.
func readVars(ctx context.Context, name, operatorAddress string) (hostVars, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operatorAddress+"/debug/vars", nil)
	if err != nil {
		return hostVars{}, errors.Wrapf(err, "slopes: read variables of %s", name)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return hostVars{}, errors.Wrapf(err, "slopes: read variables of %s", name)
	}
	defer response.Body.Close()
	var all map[string]json.RawMessage
	if err := json.NewDecoder(response.Body).Decode(&all); err != nil {
		return hostVars{}, errors.Wrapf(err, "slopes: read variables of %s", name)
	}
	var vars hostVars
	err = json.Unmarshal(all["citronspread."+name], &vars)
	return vars, errors.Wrapf(err, "slopes: decode variables of %s", name)
}
