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

// remote tells an entry host of backend servers in another zone, as a gateway of that zone would.
type remote struct {
	client   *peer.Client
	target   string // peer address
	backends int
	version  int64
}

func remoteName(i int) string { return fmt.Sprintf("%s-backend-%d", remoteZone, i) }

// listRemote adds the backend servers of another zone to the host list.
func listRemote(f *fleet.Fleet, backends int) {
	for i := range backends {
		f.HostList.Set(model.Host{
			Name: remoteName(i), Kind: model.KindBackend, Zone: remoteZone, Region: "bavaria",
			Address: fmt.Sprintf("127.0.0.2:%d", remotePort+i), State: model.HostLive, Service: serviceName,
		})
	}
}

// item returns the status of one remote backend server with one replica.
func (r *remote) item(i, models int) (gossip.Item, error) {
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
	}, errors.Wrap(err, "slopes: status")
}

func (r *remote) push(ctx context.Context, models int, indexes ...int) error {
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

// pushAll tells of every remote backend server once.
func (r *remote) pushAll(ctx context.Context, models int) error {
	indexes := make([]int, r.backends)
	for i := range indexes {
		indexes[i] = i
	}
	return r.push(ctx, models, indexes...)
}

// repeat calls work at the given rate until ctx ends.
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

// disturb changes what the size says changes, until ctx ends.
func (s Size) disturb(ctx context.Context, f *fleet.Fleet, r *remote) {
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
		repeat(ctx, s.Wakes/60, func(round int) {
			group.Go(func() { s.request(ctx, f, round) })
		})
	})
	group.Wait()
}

// request sends a short request for one model, the models in turn, to the entry hosts in turn.
func (s Size) request(ctx context.Context, f *fleet.Fleet, round int) {
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
