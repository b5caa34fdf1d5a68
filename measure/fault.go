package measure

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"citronspread/fleet"
)

// Values of Fault.Target.
const (
	targetStore   = "Store"
	targetHosts   = "Hosts"
	targetEngine  = "Engine"
	targetService = "Service"
)

// injectFaults posts each fault to its stand-ins when it is due. Its time counts from the end of the warm-up.
func injectFaults(ctx context.Context, p Plan, f *fleet.Fleet, start time.Time) error {
	for _, fault := range timeline(p.Faults) {
		if !waitUntil(ctx, start.Add(p.WarmUp+fault.At)) {
			return nil
		}
		for _, address := range faultAddresses(fault, f) {
			if err := postFault(ctx, address, fault.Body); err != nil {
				return err
			}
		}
	}
	return nil
}

// timeline returns the faults ordered by time, with each repetition as a separate fault.
func timeline(faults []Fault) []Fault {
	var all []Fault
	for _, fault := range faults {
		for i := range max(1, fault.Times) {
			repetition := fault
			repetition.At += time.Duration(i) * fault.RepeatInterval
			all = append(all, repetition)
		}
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}

// faultAddresses returns the addresses of the stand-ins that a fault is posted to.
func faultAddresses(fault Fault, f *fleet.Fleet) []string {
	var all []string
	switch fault.Target {
	case targetStore:
		return []string{f.Store.Address}
	case targetHosts:
		return []string{f.HostList.Address}
	case targetEngine:
		for _, b := range f.Backends {
			all = append(all, b.Engine.Address)
		}
	case targetService:
		for _, e := range f.Endpoints {
			all = append(all, e.Service.Address)
		}
	}
	return everyNth(all, fault.Index, fault.Step)
}

// everyNth returns every step-th element from index on, or only the one at index if step is 0.
func everyNth(all []string, index, step int) []string {
	if index >= len(all) {
		return nil
	}
	if step == 0 {
		return all[index : index+1]
	}
	var chosen []string
	for i := index; i < len(all); i += step {
		chosen = append(chosen, all[i])
	}
	return chosen
}

func postFault(ctx context.Context, address, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/fault", bytes.NewBufferString(body))
	if err != nil {
		return errors.Wrap(err, "measure: create fault request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "measure: post fault to %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("measure: post fault to %s: status %s", address, response.Status)
	}
	return nil
}

// waitUntil waits until a time. It returns false if ctx ends first.
func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
