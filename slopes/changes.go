package slopes

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"citronspread/fleet"
	"citronspread/gossip"
	"citronspread/model"
	"citronspread/peer"
)

// remotePublisher pushes the status of simulated backend servers of another zone to an entry host, as the
// entry hosts of that zone would.
type remotePublisher struct {
	client   *peer.Client
	target   string // peer address
	backends int
	version  int64
}

func remoteName(i int) string { return fmt.Sprintf("%s-backend-%d", remoteZone, i) }

// addRemoteBackends adds the simulated backend servers to the host list.
func addRemoteBackends(f *fleet.Fleet, backends int) {
	for i := range backends {
		f.HostList.Set(model.Host{
			Name: remoteName(i), Kind: model.KindBackend, Zone: remoteZone, Region: "bavaria",
			Address: fmt.Sprintf("127.0.0.2:%d", remotePort+i), State: model.HostLive, Service: serviceName,
		})
	}
}

// item returns a new version of the status of a simulated backend server with one replica.
func (r *remotePublisher) item(i, models int) (gossip.Item, error) {
	r.version++
	status := model.BackendStatus{
		Backend: remoteName(i), Zone: remoteZone, Service: serviceName, Address: fmt.Sprintf("127.0.0.2:%d", remotePort+i),
		OwnerName: fmt.Sprintf("%s-entry-%d", remoteZone, i/2), OwnerAddress: fmt.Sprintf("127.0.0.2:%d", remotePort+i/2),
		Term: 1, Version: r.version, MemoryBytes: engineMemory, FreeBytes: engineMemory, Capacity: 32,
		Replicas: []model.ReplicaStatus{{Key: model.ModelKey{Model: modelName(i % models), Version: "v1"}, State: model.ReservationLoaded}},
	}
	value, err := cbor.Marshal(status)
	return gossip.Item{
		ID:    gossip.ItemID{Kind: gossip.KindBackend, Key: status.Backend},
		Rank:  gossip.Rank{Major: status.Term, Minor: status.Version},
		Value: value,
	}, errors.Wrap(err, "slopes: encode backend status")
}

// push sends the status of the backend servers with the given indexes.
func (r *remotePublisher) push(ctx context.Context, models int, indexes ...int) error {
	request := &peer.PushRequest{Zone: remoteZone}
	for _, i := range indexes {
		item, err := r.item(i, models)
		if err != nil {
			return err
		}
		request.Items = append(request.Items, item)
	}
	_, err := r.client.Push(ctx, r.target, request)
	return err
}

// pushAll sends the status of every simulated backend server once.
func (r *remotePublisher) pushAll(ctx context.Context, models int) error {
	indexes := make([]int, r.backends)
	for i := range indexes {
		indexes[i] = i
	}
	return r.push(ctx, models, indexes...)
}

// repeat calls work at a rate until ctx ends. It returns at once if the rate is not positive.
func repeat(ctx context.Context, perSecond float64, work func(round int)) {
	if perSecond <= 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			work(round)
		}
	}
}

// applyChanges makes the changes and requests of a size at their rates until ctx ends.
func (s Size) applyChanges(ctx context.Context, f *fleet.Fleet, r *remotePublisher) {
	var group sync.WaitGroup
	group.Go(func() {
		repeat(ctx, s.RemoteChanges, func(int) { _ = r.push(ctx, s.Models, rand.IntN(max(1, s.RemoteBackends))) })
	})
	group.Go(func() {
		repeat(ctx, s.ConfigChanges/60, func(round int) {
			_ = f.PutRecord(ctx, s.Record(round%s.Models, 1+round%99))
		})
	})
	group.Go(func() {
		repeat(ctx, s.LoadDemands/60, func(round int) {
			group.Go(func() { s.sendRequest(ctx, f, round) })
		})
	})
	group.Wait()
}

// sendRequest sends a short request. Successive rounds cycle through the models and the entry hosts.
func (s Size) sendRequest(ctx context.Context, f *fleet.Fleet, round int) {
	body := fmt.Appendf(nil, `{"model":"%s","max_tokens":4,"messages":[{"role":"user","content":"gate %d"}]}`, modelName(round%s.Models), round)
	url := "http://" + f.EntryHosts[round%len(f.EntryHosts)].CallerAddress + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}
