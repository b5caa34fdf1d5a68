package gateway

import (
	"testing"
	"time"
)

// TestSmallZoneReturnsToTheStoreSoon guards against a host that was cut off with its zone's only other host and, after
// the cut, waits as long as in a large zone: on scale-2 of torwerk-dispatch it sent a request to a backend server 2.1 s
// after that had left.
func TestSmallZoneReturnsToTheStoreSoon(t *testing.T) {
	tests := []struct {
		hosts  int
		within time.Duration // between two attempts of a host without relay
	}{{hosts: 2, within: 250 * time.Millisecond}, {hosts: 3, within: 250 * time.Millisecond}, {hosts: 60, within: 2500 * time.Millisecond}}
	for _, tt := range tests {
		order := zoneOrder{others: []string{"b"}, hosts: tt.hosts}
		c, now := relayChoice{}, start
		for range 8 { // the cut
			switch s := c.choose(now, order, true); {
			case s.wait > 0:
				now = now.Add(s.wait)
			case s.relay != "":
				now = now.Add(watchWait + followMargin)
				c.failed(now, s.relay, false)
			default:
				now = now.Add(time.Second)
				c.watched(now, order, false, false)
			}
		}
		c.watched(now, order, false, false)
		if got := c.directAt.Sub(now); got > tt.within {
			t.Errorf("got the next attempt of a zone of %d hosts after %v, want at most %v", tt.hosts, got, tt.within)
		}
		c.watched(now, order, false, true) // also if the store has dropped the history
		if got := c.directAt.Sub(now); got > time.Second {
			t.Errorf("got the next watch of a zone of %d hosts %v after one that succeeded, want at most 1 s", tt.hosts, got)
		}
	}
}
