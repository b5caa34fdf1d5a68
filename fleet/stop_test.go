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
	// handOverBound is how long an idle entry host may take to stop after the balancer's lag.
	handOverBound = 5 * time.Second
	// settleTime is how long ownership may move after a start.
	settleTime = 6 * time.Second
)

// TestOneHostStopsInTime stops one of two entry hosts of a zone and holds that it hands over and ends.
func TestOneHostStopsInTime(t *testing.T) {
	f := newTestFleet(stopBasePort)
	stopFirst, cancelFirst := context.WithCancel(t.Context())
	defer cancelFirst()
	ended := make(chan time.Time, 1)
	f.RunEntryHost = func(ctx context.Context, s settings.Settings, logger *zap.Logger) error {
		if s.Name != f.EntryHosts[0].Name {
			return entryhost.Run(ctx, s, logger)
		}
		err := entryhost.Run(stopFirst, s, logger)
		ended <- time.Now()
		<-ctx.Done()
		return err
	}
	startFleet(t, f)
	time.Sleep(settleTime)
	began := time.Now()
	cancelFirst()
	select {
	case at := <-ended:
		t.Logf("stopped after %s", at.Sub(began))
	case <-time.After(handOverBound):
		dump(t, f.EntryHosts[0].OperatorAddress)
		t.Errorf("got no end within %s", handOverBound)
	}
}
