package caller

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// recordStatements records what the head of a response states about its backend server. It returns for how long the backend
// server wants no requests.
func (s *Server) recordStatements(backend string, born int64, status int, header http.Header) time.Duration {
	if s.ReadStatements == nil {
		return 0
	}
	now := time.Now()
	leaving, wait, err := s.ReadStatements(status, header)
	if err != nil {
		if _, logged := s.invalidStatements.LoadOrStore(backend, true); !logged {
			s.Log.Warn("statement not read", zap.String("Backend", backend), zap.Error(err))
		}
	}
	if leaving && s.Router.RecordLeaving(now, backend, born) {
		s.Log.Info("leaving stated", zap.String("Backend", backend))
	}
	if wait <= 0 {
		return 0
	}
	if until, news := s.Router.RecordBackOff(now, backend, born, wait); news {
		s.Log.Info("back-off stated", zap.String("Backend", backend), zap.Duration("Stated", wait), zap.Duration("For", until.Sub(now)))
	}
	return wait
}
