package standin

import (
	"net/http"
	"time"

	"citronspread/store"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

func (s *Store) handleGrant(w http.ResponseWriter, r *http.Request) {
	id, ttl := uuid.NewString(), queryMillis(r, "ttl")
	s.mu.Lock()
	s.counts.Writes++
	s.data.leases[id] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	lost := s.consumeLostResponse()
	s.mu.Unlock()
	if lost {
		abortConnection()
	}
	time.AfterFunc(ttl+leaseCheckInterval, s.checkLeases)
	writeJSON(w, http.StatusOK, store.Lease{ID: id})
}

func (s *Store) handleRenew(w http.ResponseWriter, r *http.Request) {
	id, now := chi.URLParam(r, "id"), time.Now()
	s.mu.Lock()
	s.counts.Writes++
	s.expireLeases(now)
	l, ok := s.data.leases[id]
	if ok {
		l.expiresAt = now.Add(l.ttl)
		s.data.leases[id] = l
	}
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "no such lease")
		return
	}
	time.AfterFunc(l.ttl+leaseCheckInterval, s.checkLeases)
	writeJSON(w, http.StatusOK, revisionResponse{})
}

func (s *Store) handleRevoke(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counts.Writes++
	if s.data.removeLease(chi.URLParam(r, "id")) {
		s.notifyWatchers()
	}
	revision := s.data.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, revisionResponse{Revision: revision})
}

func (s *Store) checkLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
}
