package standin

import (
	"net/http"
	"slices"
	"time"

	"citronspread/store"
)

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), queryInt(r, "after")
	timer := time.NewTimer(min(queryMillis(r, "timeout"), maxWatchTimeout))
	defer timer.Stop()

	s.count(func(c *StoreCounts) { c.Watches++ })
	for {
		change, changed := s.changesAfter(prefix, after)
		if change.Revision < after || !change.IsEmpty() {
			writeJSON(w, http.StatusOK, change)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			writeJSON(w, http.StatusOK, change)
			return
		case <-changed:
			if s.isUnreachable(r) {
				abortConnection()
			}
		}
	}
}

// changesAfter returns the changes after a revision and a channel that is closed at the next change.
func (s *Store) changesAfter(prefix string, after int64) (store.Change, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	return s.data.changes(prefix, after), s.changed
}

// isUnreachable reports whether the current fault makes the store unreachable for a waiting watch.
func (s *Store) isUnreachable(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault.Down || slices.Contains(s.fault.UnreachableZones, r.Header.Get(zoneHeader))
}
