package fleet

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"citronspread/entryhost"
	"citronspread/settings"
)

const (
	stopBasePort = 21_500
	// stopTimeout is how long an idle entry host may take to hand over its backend servers and stop, in addition to
	// BalancerLag, which is 0 in the test fleet.
	stopTimeout = 5 * time.Second
	// ownershipSettleTime is the time after a start in which the ownership of backend servers may still change.
	ownershipSettleTime = 6 * time.Second
)

// TestOneHostStopsInTime guards against an entry host that hangs in its shutdown. It stops one of the two entry hosts
// of a zone and checks that the host returns in time.
func TestOneHostStopsInTime(t *testing.T) {
	f := newTestFleet(stopBasePort)
	firstCtx, cancelFirst := context.WithCancel(t.Context())
	defer cancelFirst()
	stopped := make(chan time.Time, 1)
	f.RunEntryHost = func(ctx context.Context, s settings.Settings, logger *zap.Logger) error {
		if s.Name != f.EntryHosts[0].Name {
			return entryhost.Run(ctx, s, logger)
		}
		err := entryhost.Run(firstCtx, s, logger)
		stopped <- time.Now()
		<-ctx.Done()
		return err
	}
	startFleet(t, f)
	time.Sleep(ownershipSettleTime)
	stopBegan := time.Now()
	cancelFirst()
	select {
	case stoppedAt := <-stopped:
		t.Logf("stopped after %s", stoppedAt.Sub(stopBegan))
	case <-time.After(stopTimeout):
		logState(t, f.EntryHosts[0].OperatorAddress)
		t.Errorf("entry host did not stop within %s", stopTimeout)
	}
}
