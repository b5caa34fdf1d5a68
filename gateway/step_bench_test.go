package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"citronspread/ownership"
)

// BenchmarkStep measures the processor time of one step of the control thread in a large deployment. Each event causes
// one step.
func BenchmarkStep(b *testing.B) {
	h := &Host{Name: "host-0", Zone: "z", Log: zap.NewNop(), Now: BootTime, Store: unreachableStore{}}
	h.Prepare()
	now := h.Now()
	v, state := largeView(now)
	h.view = v
	h.routes.Store(newRouteTable(state))
	for i := range 295 {
		name, revision := fmt.Sprintf("host-%d", i), int64(i+1)
		h.table.HostWritten(now, ownership.HostRecord{Name: name, Zone: "z", PeerAddress: name}, revision)
		h.table.LivenessWritten(name, revision)
	}
	for i := range 256 {
		h.table.Owners[fmt.Sprintf("backend%d", i)] = ownership.Owner{Record: ownership.OwnerRecord{Host: fmt.Sprintf("host-%d", i+10)}, Revision: 1000}
	}
	h.registered, h.lastRenewAt = true, now
	h.table.Registered(now, 1)
	h.table.Observed(now, 2000)
	h.step(now)
	b.Run("idle", func(b *testing.B) {
		for b.Loop() {
			h.step(now)
		}
	})
	b.Run("claims", func(b *testing.B) {
		for b.Loop() {
			h.table.Claims(now, h.backendsToOwn())
		}
	})
	b.Run("update", func(b *testing.B) {
		for b.Loop() {
			h.afterStoreUpdate(now, 2000)
		}
	})
	for i := range 80 {
		h.table.LivenessEnded(now, fmt.Sprintf("host-%d", i+20), 3000)
	}
	later := now.Add(12 * time.Second)
	h.table.Renewed(later)
	h.table.Observed(later, 3001)
	b.Run("claims of failed hosts", func(b *testing.B) {
		for b.Loop() {
			h.table.Claims(later, h.backendsToOwn())
		}
	})
}
