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

// writeDumps writes the state of the entry hosts and engines, and the ledger's records in the store, to files.
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

// writeDump writes the state that a server returns to a file.
func (r *Run) writeDump(ctx context.Context, name, url string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrapf(err, "faults: create dump request for %s", name)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "faults: request dump of %s", name)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "faults: read dump of %s", name)
	}
	return r.writeFile(name, body)
}

// writeStoreDump writes the ledger's records to a file, one per line.
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
	return errors.Wrapf(os.WriteFile(filepath.Join(r.DumpDirectory, name+".dump"), body, 0o600), "faults: write dump of %s", name)
}
