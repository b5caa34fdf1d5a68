package caller

import "net/http"

type modelList struct {
	Object string      `json:"object"`
	Data   []modelWire `json:"data"`
}

type modelWire struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels serves GET /v1/models.
func (s *Server) listModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelWire{}}
	for _, name := range s.Router.Names() {
		list.Data = append(list.Data, modelWire{ID: name.ID, Object: "model", OwnedBy: name.Service})
	}
	writeJSON(w, http.StatusOK, list)
}
