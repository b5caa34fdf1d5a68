package fleet

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"citronspread/entryhost"
)

// ReadState fetches the control state of an entry host from its operator address.
func ReadState(ctx context.Context, operatorAddress string) (entryhost.ControlState, error) {
	var dump struct{ Control entryhost.ControlState }
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operatorAddress+"/debug/state", nil)
	if err != nil {
		return dump.Control, errors.Wrap(err, "fleet: create state request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return dump.Control, errors.Wrap(err, "fleet: request state")
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&dump)
	return dump.Control, errors.Wrap(err, "fleet: decode state")
}
