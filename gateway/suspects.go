package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/peer"
	"citronspread/routing"
)

// suspectTimeout limits a call that passes on suspects.
const suspectTimeout = time.Second

// Suspect merges a suspect that another entry host has published.
func (p *platformHandler) Suspect(_ context.Context, request *peer.SuspectRequest) (*peer.Empty, error) {
	h := p.host
	h.mergeSuspects(onOwnClock(h.Now(), request.SentAt, []model.Suspect{request.Suspect}))
	return &peer.Empty{}, nil
}

// ListRefused returns the suspects that this host refuses.
func (p *platformHandler) ListRefused(context.Context, *peer.Empty) (*peer.RefusedReply, error) {
	now := p.host.Now()
	return &peer.RefusedReply{Suspects: p.host.router.Suspects.Refused(now, maxSuspects), SentAt: now}, nil
}

// publishSuspect merges an own suspect, which revokes other grants of its request, and sends it to the hosts of each zone
// that may be its relay, which pass it on to the hosts that follow them. The number of calls grows with the zones and not
// with the hosts, because a backend server that crashes makes suspects of all requests that it ran.
func (h *Host) publishSuspect(s model.Suspect) {
	h.Log.Info("suspect", zap.Uint64("Fingerprint", uint64(s.Fingerprint)), zap.Int("Deaths", s.Deaths), zap.String("Holder", s.Holder))
	h.spawn(func(ctx context.Context) {
		h.router.MergeSuspects(h.Now(), []model.Suspect{s})
		h.history.addSuspect(s)
		addresses, err := query(ctx, h, func(time.Time) []string { return h.allRelays() })
		if err != nil {
			return
		}
		h.sendSuspect(ctx, s, addresses)
	})
}

// sendSuspect sends a suspect to entry hosts and logs once how many it did not reach.
func (h *Host) sendSuspect(ctx context.Context, s model.Suspect, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	var sends sync.WaitGroup
	var failed atomic.Int64
	for _, address := range addresses {
		sends.Go(func() {
			if err := h.Peers.Suspect(ctx, address, &peer.SuspectRequest{Suspect: s, SentAt: h.Now()}); err != nil {
				failed.Add(1)
				h.Log.Debug("suspect not told", zap.String("Peer", address), zap.Error(err))
			}
		})
	}
	sends.Wait()
	if failed.Load() > 0 {
		h.Log.Info("suspect not told", zap.Uint64("Fingerprint", uint64(s.Fingerprint)), zap.Int64("Peers", failed.Load()), zap.Int("Of", len(addresses)))
	}
}

// mergeSuspects merges suspects and retains those that were news for the hosts that follow this one.
func (h *Host) mergeSuspects(suspects []model.Suspect) {
	for _, s := range h.router.MergeSuspects(h.Now(), suspects) {
		h.history.addSuspect(s)
	}
}

// learnSuspects asks the relays of all zones which suspects they refuse, if this host is one of them. A host that starts
// knows none, and as the first relay of its zone it follows no host that would pass them on.
func (h *Host) learnSuspects() {
	addresses := h.allRelays()
	if h.suspectsLearned || len(addresses) == 0 || !h.isRelayCandidate() {
		return
	}
	h.suspectsLearned = true
	for _, address := range addresses {
		h.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
			defer cancel()
			reply, err := h.Peers.ListRefused(ctx, address)
			if err != nil {
				h.Log.Info("refused suspects not learned", zap.String("Peer", address), zap.Error(err))
				return
			}
			if len(reply.Suspects) > 0 {
				h.Log.Info("refused suspects learned", zap.String("Peer", address), zap.Int("Suspects", len(reply.Suspects)))
			}
			h.mergeSuspects(onOwnClock(h.Now(), reply.SentAt, reply.Suspects))
		})
	}
}

// onOwnClock returns the suspects of another host with their times on the clock of this host, which shows now. The clocks
// of two hosts differ by any time, because they count from the start of each machine. sentAt is what the other clock
// showed when the suspects were sent; hosts of earlier builds do not state it.
func onOwnClock(now, sentAt time.Time, suspects []model.Suspect) []model.Suspect {
	if sentAt.IsZero() {
		return suspects
	}
	shifted := make([]model.Suspect, len(suspects))
	for i, s := range suspects {
		shifted[i] = routing.ShiftSuspect(s, now.Sub(sentAt))
	}
	return shifted
}
