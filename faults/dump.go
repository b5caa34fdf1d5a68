package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// writeDumps keeps the state of the entry hosts, of the engines and of the store's records.
func (r *Run) writeDumps(ctx context.Context) error {
	sources := map[string]string{}
	for _, h := range r.hosts {
		sources[h.name] = "http://" + h.operatorAddress + "/debug/state"
	}
	for _, e := range r.platform.engines {
		sources[e.Backend] = "http://" + e.Address + "/control/state"
	}
	for name, url := range sources {
		if err := r.writeDump(ctx, name, url); err != nil {
			return err
		}
	}
	return r.writeStoreDump(ctx)
}

func (r *Run) writeDump(ctx context.Context, name, url string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "faults: dump")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "faults: dump")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "faults: dump")
	}
	return r.writeFile(name, body)
}

// writeStoreDump writes one line for each record of the ledger.
func (r *Run) writeStoreDump(ctx context.Context) error {
	var lines []byte
	for _, prefix := range []string{"backend/", "model/"} {
		listing, err := r.platform.storeClient().List(ctx, prefix)
		if err != nil {
			return err
		}
		for _, entry := range listing.Entries {
			lines = fmt.Appendf(lines, "%s %d %s\n", entry.Key, entry.Revision, json.RawMessage(entry.Value))
		}
	}
	return r.writeFile("store", lines)
}

func (r *Run) writeFile(name string, body []byte) error {
	return errors.Wrap(os.WriteFile(filepath.Join(r.Dumps, name+".dump"), body, 0o600), "faults: dump")
}
