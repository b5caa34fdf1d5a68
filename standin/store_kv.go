package standin

import (
	"io"
	"net/http"
	"strings"
	"time"

	"citronspread/store"
)

// revisionAnswer is the answer to a write that took effect.
type revisionAnswer struct {
	Revision int64
}

func keyOf(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/v1/kv/") }

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counts.Reads++
	s.expireLeases(time.Now())
	found, ok := s.data.entries[keyOf(r)]
	s.mu.Unlock()
	if !ok {
		writeFailure(w, http.StatusNotFound, "no such key")
		return
	}
	writeJSON(w, http.StatusOK, found.entry)
}

func (s *Store) handleList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counts.Reads++
	s.expireLeases(time.Now())
	listing := s.data.list(r.URL.Query().Get("prefix"))
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, listing)
}

func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		writeFailure(w, http.StatusRequestEntityTooLarge, "value too large")
		return
	}
	leaseID := r.URL.Query().Get("lease")
	s.write(w, r, func() bool {
		return s.data.put(keyOf(r), value, queryInt(r, "revision"), leaseID)
	})
}

func (s *Store) handleDelete(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, func() bool {
		return s.data.remove(keyOf(r), queryInt(r, "revision"))
	})
}

// write applies a change under the mutex and answers with the new revision or with the current entry.
func (s *Store) write(w http.ResponseWriter, r *http.Request, apply func() bool) {
	s.mu.Lock()
	s.counts.Writes++
	s.expireLeases(time.Now())
	if leaseID := r.URL.Query().Get("lease"); leaseID != "" && !s.hasLease(leaseID) {
		s.mu.Unlock()
		writeFailure(w, http.StatusNotFound, "no such lease")
		return
	}
	done := apply()
	current := s.data.entries[keyOf(r)].entry
	revision := s.data.revision
	lost := done && s.loseAnswer()
	if done {
		s.announce()
	} else {
		s.counts.Conflicts++
	}
	s.mu.Unlock()

	if done && s.Written != nil {
		s.Written.TakeWrite(current)
	}
	if lost {
		cutConnection()
	}
	if !done {
		s.writeConflict(w, r, current)
		return
	}
	writeJSON(w, http.StatusOK, revisionAnswer{Revision: revision})
}

func (s *Store) writeConflict(w http.ResponseWriter, r *http.Request, current store.Entry) {
	current.Key = keyOf(r)
	writeJSON(w, http.StatusConflict, current)
}

// hasLease reports whether a lease lasts. The caller holds the mutex.
func (s *Store) hasLease(id string) bool {
	_, ok := s.data.leases[id]
	return ok
}

// loseAnswer reports whether the answer to a write gets lost. The caller holds the mutex.
func (s *Store) loseAnswer() bool {
	if s.fault.LoseAnswers == 0 {
		return false
	}
	s.fault.LoseAnswers--
	s.counts.LostAnswers++
	return true
}
