package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"citronspread/store"
)

// settledEraKey is the key of the latest settled era.
const settledEraKey = "citronspread/settled-era"

// noEra stands for no era, where others are as of store.Era.
const noEra = -1

// SettledEra is the record of the latest settled era, as of store.Era.
type SettledEra struct {
	Era int64
}

// storeEra is the era of the store as a host knows it. A restored store may lack records of streams that began before. Its
// era is settled once such streams can't be taken up any more. Until then the streams of all versions are recorded, and one
// without a record may have begun at any version. It is used by the control thread only.
type storeEra struct {
	current  int64     // as of store.Era
	since    time.Time // when this host learned of it
	recorded int64     // the latest era that the store names as settled
}

// enter records that the store is in an era.
func (e *storeEra) enter(now time.Time, era int64) { e.current, e.since = era, now }

// isSettled reports whether streams that began before the era can't be taken up any more.
func (e *storeEra) isSettled(now time.Time) bool {
	return e.current == 0 || e.recorded == e.current || now.Sub(e.since) > streamRetention
}

// settled returns the era if it is settled, and noEra otherwise.
func (e *storeEra) settled(now time.Time) int64 {
	if !e.isSettled(now) {
		return noEra
	}
	return e.current
}

// isDue reports whether the era is settled and the store does not name it, so that hosts that start do not know it.
func (e *storeEra) isDue(now time.Time) bool { return e.recorded != e.current && e.isSettled(now) }

// isEraSettled reports whether the latest era that the store has stated is settled.
func (h *Host) isEraSettled() bool { return h.settledEra.Load() == h.Store.Era() }

// writeSettledEra writes the latest settled era. Its outcome arrives through the watch.
func (h *Host) writeSettledEra(era int64) {
	h.software.writing = true
	h.spawn(func(ctx context.Context) {
		h.Metrics.CountStoreCall("transaction", "software")
		_, err := h.Store.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: settledEraKey, Value: encode(SettledEra{era})}}})
		h.post(func(now time.Time) {
			h.software.writing = false
			h.Log.Info("settled era written", zap.Int64("Era", era), zap.Error(err))
			h.enterEraOf(now, err)
		})
	})
}
