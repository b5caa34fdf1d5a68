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

// clockTicks is the unit of processor times in /proc.
const clockTicks = 100 // a second

// Sample is what one entry host has used since it started.
type Sample struct {
	At        time.Time
	Processor time.Duration
	Resident  int64 // bytes
	PeerBytes int64 // received and sent
	PeerCalls int64
	Steps     int64 // of the ledger
}

// TakeSample reads what the process of an entry host has used.
func TakeSample(ctx context.Context, now time.Time, pid int, name, operatorAddress string) (Sample, error) {
	sample := Sample{At: now}
	var err error
	if sample.Processor, err = readProcessor(pid); err != nil {
		return sample, err
	}
	if sample.Resident, err = readResident(pid); err != nil {
		return sample, err
	}
	vars, err := readVars(ctx, name, operatorAddress)
	if err != nil {
		return sample, err
	}
	sample.PeerBytes = vars.PeerBytesReceived + vars.PeerBytesSent
	sample.PeerCalls = vars.PeerCalls
	sample.Steps = vars.LedgerSteps
	return sample, nil
}

// readProcessor returns the processor time of a process, user and system.
func readProcessor(pid int) (time.Duration, error) {
	line, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "slopes: processor time")
	}
	const userField, systemField = 11, 12 // after the process name
	_, rest, _ := strings.Cut(string(line), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0, errors.Newf("slopes: processor time of process %d not understood", pid)
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	ticks := time.Duration(user + system)
	return ticks * time.Second / clockTicks, errors.CombineErrors(userErr, systemErr)
}

// readResident returns the resident memory of a process.
func readResident(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "slopes: memory")
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, errors.Newf("slopes: no memory of process %d", pid)
}

// hostVars are the variables of an entry host that are sampled.
type hostVars struct {
	PeerBytesReceived int64
	PeerBytesSent     int64
	PeerCalls         int64
	LedgerSteps       int64
}

func readVars(ctx context.Context, name, operatorAddress string) (hostVars, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operatorAddress+"/debug/vars", nil)
	if err != nil {
		return hostVars{}, errors.Wrap(err, "slopes: variables")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return hostVars{}, errors.Wrap(err, "slopes: variables")
	}
	defer response.Body.Close()
	var all map[string]json.RawMessage
	if err := json.NewDecoder(response.Body).Decode(&all); err != nil {
		return hostVars{}, errors.Wrap(err, "slopes: variables")
	}
	var vars hostVars
	err = json.Unmarshal(all["citronspread."+name], &vars)
	return vars, errors.Wrap(err, "slopes: variables")
}
