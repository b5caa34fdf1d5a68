package routing

import (
	"errors"
	"testing"
	"time"

	"citronspread/model"
)

func newEndpointRouter(backends ...string) *Router {
	r := newRouter(DefaultPolicy())
	var endpoints []model.ServiceEndpoint
	for _, name := range backends {
		endpoints = append(endpoints, model.ServiceEndpoint{Service: "desk", Backend: name, Zone: "muenchen", Address: name + ":1"})
	}
	r.Snapshot.Store(&model.Snapshot{Services: endpoints})
	return r
}

func (r *Router) mustGrantEndpoint(t *testing.T, now time.Time, f model.Fingerprint, trial bool, avoid ...string) *EndpointGrant {
	t.Helper()
	g, err := r.grantEndpoint(now, &Request{Service: "desk", Fingerprint: f, Avoid: avoid}, trial)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// TestCallsBesideCrashingTrialAreNoSuspects guards against refusing sound calls that ran on an endpoint when a trial
// crashed it.
func TestCallsBesideCrashingTrialAreNoSuspects(t *testing.T) {
	r := newEndpointRouter("a")
	r.Suspects.RecordCrash(testTime, 1, "z", true, 0)
	if got := r.Suspects.Check(testTime, 1).State; got != StateClaimed {
		t.Fatalf("got state %d of the suspect, want %d", got, StateClaimed)
	}
	trial, before, after := r.mustGrantEndpoint(t, testTime, 1, true), r.mustGrantEndpoint(t, testTime, 2, false), r.mustGrantEndpoint(t, testTime, 3, false)
	before.Done(testTime, OutcomeConnectionLost)
	trial.Done(testTime, OutcomeConnectionLost)
	after.Done(testTime.Add(time.Millisecond), OutcomeConnectionLost)
	if got := r.Suspects.Check(testTime, 1).State; got != StateRefused {
		t.Errorf("got state %d of the request that crashed two backend servers, want %d", got, StateRefused)
	}
	for _, f := range []model.Fingerprint{2, 3} {
		if r.Suspects.IsSuspect(f) {
			t.Errorf("got request %d as a suspect, want it clear", f)
		}
	}
}

func TestEndpointOfTrial(t *testing.T) {
	r := newEndpointRouter("a", "b")
	first := r.mustGrantEndpoint(t, testTime, 1, true)
	second := r.mustGrantEndpoint(t, testTime, 2, true)
	if first.Endpoint.Address == second.Endpoint.Address {
		t.Errorf("got both trials at %s, want one at each endpoint", first.Endpoint.Address)
	}
	first.Done(testTime, OutcomeUnreachable)
	if got := r.mustGrantEndpoint(t, testTime, 3, false).Endpoint; got != second.Endpoint {
		t.Errorf("got endpoint %s, want the reachable one %s", got.Address, second.Endpoint.Address)
	}
	second.Done(testTime, OutcomeComplete)
	if len(r.endpointCalls.trials) > 0 {
		t.Errorf("got trials %v after all have ended, want none", r.endpointCalls.trials)
	}
}

// TestEndpointOfSoftwareVersion guards against a stream of a plain service that goes on at another software version.
func TestEndpointOfSoftwareVersion(t *testing.T) {
	r := newRouter(DefaultPolicy())
	r.Snapshot.Store(&model.Snapshot{Services: []model.ServiceEndpoint{
		{Service: "desk", Backend: "a", Zone: "muenchen", Address: "a:1", Software: "v1"},
		{Service: "desk", Backend: "b", Zone: "augsburg", Address: "b:1", Software: "v2"},
	}})
	tests := []struct {
		software string
		want     string // empty if the call must be refused
	}{
		{"v1", "a"},
		{"v2", "b"},
		{"v3", ""},
	}
	for _, tt := range tests {
		for range 5 {
			got := ""
			grant, err := r.grantEndpoint(testTime, &Request{Service: "desk", Target: Target{Software: tt.software}}, false)
			if err == nil {
				got = grant.Endpoint.Backend
			}
			var refused *RefusedError
			if got != tt.want || err != nil && !errors.As(err, &refused) {
				t.Errorf("%s: got endpoint %q and error %v, want %q", tt.software, got, err, tt.want)
			}
		}
	}
}
