package standin

import (
	"testing"

	"citronspread/model"
)

// TestHostListEndsWithTheLastChange holds that an earlier list which is published late does not replace a later one.
func TestHostListEndsWithTheLastChange(t *testing.T) {
	list := &HostList{}
	list.Set(model.Host{Name: "a"})
	earlier, _, _ := list.read()
	list.Set(model.Host{Name: "b"})
	list.publish(earlier)
	published, _, _ := list.read()
	if got, want := len(published.Hosts), 2; got != want {
		t.Errorf("hosts: got %d, want %d", got, want)
	}
}
