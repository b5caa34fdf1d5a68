package standin

import (
	"io"
	"net/http"
	"strings"
	"time"

	"citronspread/store"
)

// revisionResponse is the response to a write that took effect.
type revisionResponse struct {
	Revision int64
}

func keyFromPath(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/v1/kv/") }

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counts.Reads++
	s.expireLeases(time.Now())
	stored, ok := s.data.entries[keyFromPath(r)]
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "no such key")
		return
	}
	writeJSON(w, http.StatusOK, stored.entry)
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
		writeError(w, http.StatusRequestEntityTooLarge, "value too large")
		return
	}
	leaseID := r.URL.Query().Get("lease")
	s.write(w, r, func() bool {
		return s.data.put(keyFromPath(r), value, queryInt(r, "revision"), leaseID)
	})
}

func (s *Store) handleDelete(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, func() bool {
		return s.data.remove(keyFromPath(r), queryInt(r, "revision"))
	})
}

// write applies a change under the mutex. It responds with the new revision, or with the current entry on a conflict.
func (s *Store) write(w http.ResponseWriter, r *http.Request, apply func() bool) {
	s.mu.Lock()
	s.counts.Writes++
	s.expireLeases(time.Now())
	if leaseID := r.URL.Query().Get("lease"); leaseID != "" && !s.hasLease(leaseID) {
		s.mu.Unlock()
		writeError(w, http.StatusNotFound, "no such lease")
		return
	}
	applied := apply()
	current := s.data.entries[keyFromPath(r)].entry
	revision := s.data.revision
	lost := applied && s.consumeLostResponse()
	if applied {
		s.notifyWatchers()
	} else {
		s.counts.Conflicts++
	}
	s.mu.Unlock()

	if applied && s.WriteSink != nil {
		s.WriteSink.RecordWrite(current)
	}
	if lost {
		abortConnection()
	}
	if !applied {
		s.writeConflict(w, r, current)
		return
	}
	writeJSON(w, http.StatusOK, revisionResponse{Revision: revision})
}

func (s *Store) writeConflict(w http.ResponseWriter, r *http.Request, current store.Entry) {
	current.Key = keyFromPath(r)
	writeJSON(w, http.StatusConflict, current)
}

// hasLease reports whether a lease exists. s.mu must be held.
func (s *Store) hasLease(id string) bool {
	_, ok := s.data.leases[id]
	return ok
}

// consumeLostResponse reports whether the response to the current write is lost. s.mu must be held.
func (s *Store) consumeLostResponse() bool {
	if s.fault.LoseAnswers == 0 {
		return false
	}
	s.fault.LoseAnswers--
	s.counts.LostAnswers++
	return true
}
