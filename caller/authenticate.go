package caller

import (
	"context"
	"net/http"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/workspace"
)

const (
	headerRequestID = "X-Request-Id"
	headerWorkspace = "X-Citronspread-Workspace" // name of the caller's workspace, for plain services
)

// Priorities of workspaces, 0 the most urgent, on the scale of callers, where 100 is.
const (
	urgentPriority = 100
	priorityStep   = 10
)

type workspaceKey struct{}

// workspaceOf returns the workspace of a request's caller, zero if callers need no keys.
func workspaceOf(ctx context.Context) model.Workspace {
	w, _ := ctx.Value(workspaceKey{}).(model.Workspace)
	return w
}

// authenticate refuses requests without the key of a workspace. It replaces the key by the name of the workspace.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Workspaces.IsEmpty() {
			next.ServeHTTP(w, r)
			return
		}
		key, credentials := workspace.KeyOf(r.Header)
		found, known := s.Workspaces.Find(key)
		if !known {
			s.refuseKey(w, r, credentials)
			return
		}
		workspace.RemoveCredentials(r.Header)
		r.Header.Set(headerWorkspace, found.Name)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), workspaceKey{}, found)))
	})
}

func (s *Server) refuseKey(w http.ResponseWriter, r *http.Request, credentials workspace.Credentials) {
	id := uuid.NewString()
	s.Totals.Unauthorized.Add(1)
	s.Log.Info("unauthorized", zap.String("Request", id), zap.String("Hostname", shortened(r.Host)), zap.String("Path", shortened(r.URL.Path)), zap.String("Credentials", string(credentials)))
	w.Header().Set(headerRequestID, id)
	w.Header().Set("WWW-Authenticate", "Bearer")
	s.writeError(w, failure{status: http.StatusUnauthorized, code: codeUnauthorized, message: "the key of a workspace is required", run: runStatusNotRun})
}

// maxLoggedText is how many bytes of a text of a refused caller are logged.
const maxLoggedText = 256

// shortened returns the beginning of a text, so that callers can't make log lines arbitrarily long.
func shortened(text string) string { return text[:min(len(text), maxLoggedText)] }

// workspacePriority returns the priority of a workspace on the scale of callers, false if it has none.
func workspacePriority(w model.Workspace) (priority int, isSet bool) {
	if w.Priority == nil {
		return 0, false
	}
	return max(0, urgentPriority-priorityStep**w.Priority), true
}
