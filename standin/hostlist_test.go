package standin

import (
	"testing"

	"citronspread/model"
)

// TestHostListKeepsLatestChange guards against an older list replacing a newer one, which happens when the timers of
// two publications fire in the wrong order.
func TestHostListKeepsLatestChange(t *testing.T) {
	list := &HostList{}
	list.Set(model.Host{Name: "a"})
	earlier, _, _ := list.snapshot()
	list.Set(model.Host{Name: "b"})
	list.publish(earlier)
	published, _, _ := list.snapshot()
	if got, want := len(published.Hosts), 2; got != want {
		t.Errorf("got %d hosts, want %d", got, want)
	}
}
