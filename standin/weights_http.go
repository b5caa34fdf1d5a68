package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
)

// Run serves the weight store until ctx is done.
func (s *WeightStore) Run(ctx context.Context) error { return serve(ctx, s.Address, s.Handler()) }

// Handler returns the weight store's HTTP interface.
func (s *WeightStore) Handler() http.Handler {
	s.once.Do(s.init)
	r := chi.NewRouter()
	r.Post("/weights/begin", s.handleBegin)
	r.Post("/weights/end", s.handleEnd)
	r.Post("/weights/fault", s.handleFault)
	r.Get("/weights/counts", s.handleCounts)
	return r
}

func (s *WeightStore) handleBegin(w http.ResponseWriter, r *http.Request) {
	permit, err := s.Acquire(r.Context(), PermitKind(r.URL.Query().Get("kind")))
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, permit)
}

func (s *WeightStore) handleEnd(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	s.Release(r.Context(), id)
	writeJSON(w, http.StatusOK, Permit{ID: id})
}

func (s *WeightStore) handleFault(w http.ResponseWriter, r *http.Request) {
	var fault WeightFault
	if !readJSON(w, r, &fault) {
		return
	}
	s.SetFault(fault)
	writeJSON(w, http.StatusOK, fault)
}

func (s *WeightStore) handleCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

// WeightClient calls a weight store in another process.
type WeightClient struct {
	Address string
}

// Acquire waits until the weight store grants a permit.
func (c *WeightClient) Acquire(ctx context.Context, kind PermitKind) (Permit, error) {
	var permit Permit
	err := post(ctx, c.Address, "/weights/begin", url.Values{"kind": {string(kind)}}, nil, &permit)
	return permit, err
}

// Release returns a permit. It ignores errors; a permit that is not returned expires.
func (c *WeightClient) Release(ctx context.Context, id string) {
	_ = post(ctx, c.Address, "/weights/end", url.Values{"id": {id}}, nil, nil)
}

// post sends a JSON body to a stand-in in another process and decodes the response into a value unless it is
// nil.
func post(ctx context.Context, address, path string, query url.Values, body, into any) error {
	payload, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "standin: encode request body")
	}
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(payload))
	if err != nil {
		return errors.Wrap(err, "standin: create request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "standin: send request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("standin: %s: status %d", path, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "standin: decode response")
}
