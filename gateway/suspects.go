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

// SuspectParts merges suspect parts that another entry host has published.
func (p *platformHandler) SuspectParts(_ context.Context, request *peer.SuspectPartsRequest) (*peer.Empty, error) {
	h := p.host
	h.mergeSuspectParts(partsOnOwnClock(h.Now(), request.SentAt, request.Parts))
	return &peer.Empty{}, nil
}

// ListRefused returns the suspects that this host refuses, the parts of prompts that it blocks and what it knows of the
// statements of backend servers.
func (p *platformHandler) ListRefused(context.Context, *peer.Empty) (*peer.RefusedReply, error) {
	now, router := p.host.Now(), p.host.router
	return &peer.RefusedReply{Suspects: router.Suspects.Refused(now, maxSuspects), Parts: router.PromptParts.Blocked(now), Limits: router.Statements(), SentAt: now}, nil
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

// publishSuspectParts retains own suspect parts and sends them to the same hosts as publishSuspect.
func (h *Host) publishSuspectParts(parts []model.SuspectPart) {
	h.spawn(func(ctx context.Context) {
		for _, p := range parts {
			h.history.addSuspectPart(p)
		}
		addresses, err := query(ctx, h, func(time.Time) []string { return h.allRelays() })
		if err != nil {
			return
		}
		failed := h.sendToAll(ctx, addresses, func(ctx context.Context, address string) error {
			return h.Peers.SuspectParts(ctx, address, &peer.SuspectPartsRequest{Parts: parts, SentAt: h.Now()})
		})
		if failed > 0 {
			h.Log.Info("suspect parts not told", zap.Int("Parts", len(parts)), zap.Int64("Peers", failed), zap.Int("Of", len(addresses)))
		}
	})
}

// logSuspectPart logs that requests with a part of a prompt are refused now, or no longer.
func (h *Host) logSuspectPart(p model.SuspectPart, blocked bool) {
	message := "prompt part blocked"
	if !blocked {
		message = "prompt part no longer blocked"
	}
	h.Log.Warn(message, zap.String("Part", p.Part), zap.Int("Depth", p.Depth), zap.Strings("Backends", backendsOf(p.Crashes)),
		zap.Strings("BackendsBeforeResponse", backendsOf(p.Unbegun)), zap.Bool("SoundBefore", !p.SoundAt.IsZero()))
}

func backendsOf(crashes []model.PartCrash) (backends []string) {
	for _, c := range crashes {
		backends = append(backends, c.Backend)
	}
	return backends
}

// sendSuspect sends a suspect to entry hosts and logs once how many it did not reach.
func (h *Host) sendSuspect(ctx context.Context, s model.Suspect, addresses []string) {
	failed := h.sendToAll(ctx, addresses, func(ctx context.Context, address string) error {
		return h.Peers.Suspect(ctx, address, &peer.SuspectRequest{Suspect: s, SentAt: h.Now()})
	})
	if failed > 0 {
		h.Log.Info("suspect not told", zap.Uint64("Fingerprint", uint64(s.Fingerprint)), zap.Int64("Peers", failed), zap.Int("Of", len(addresses)))
	}
}

// sendToAll makes one call to each address at the same time and returns how many have failed.
func (h *Host) sendToAll(ctx context.Context, addresses []string, call func(ctx context.Context, address string) error) (failed int64) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	var sends sync.WaitGroup
	var failures atomic.Int64
	for _, address := range addresses {
		sends.Go(func() {
			if err := call(ctx, address); err != nil {
				failures.Add(1)
				h.Log.Debug("peer not reached with suspects", zap.String("Peer", address), zap.Error(err))
			}
		})
	}
	sends.Wait()
	return failures.Load()
}

// mergeSuspects merges suspects and retains those that were news for the hosts that follow this one.
func (h *Host) mergeSuspects(suspects []model.Suspect) {
	for _, s := range h.router.MergeSuspects(h.Now(), suspects) {
		h.history.addSuspect(s)
	}
}

// mergeSuspectParts merges suspect parts and retains those that were news for the hosts that follow this one.
func (h *Host) mergeSuspectParts(parts []model.SuspectPart) {
	for _, p := range h.router.MergeSuspectParts(h.Now(), parts) {
		h.history.addSuspectPart(p)
	}
}

// learnSuspects asks the relays of all zones what they refuse and what backend servers have stated, if this host is one of them. A
// host that starts knows none, and as the first relay of its zone it follows no host that would pass them on.
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
			if len(reply.Suspects)+len(reply.Parts) > 0 {
				h.Log.Info("refused suspects learned", zap.String("Peer", address), zap.Int("Suspects", len(reply.Suspects)), zap.Int("Parts", len(reply.Parts)))
			}
			now := h.Now()
			h.mergeSuspects(onOwnClock(now, reply.SentAt, reply.Suspects))
			h.mergeSuspectParts(partsOnOwnClock(now, reply.SentAt, reply.Parts))
			h.mergeStatements(reply.SentAt, reply.Limits)
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

// partsOnOwnClock returns the suspect parts of another host with their times on the clock of this host, see onOwnClock.
func partsOnOwnClock(now, sentAt time.Time, parts []model.SuspectPart) []model.SuspectPart {
	shifted := make([]model.SuspectPart, len(parts))
	for i, p := range parts {
		shifted[i] = routing.ShiftSuspectPart(p, now.Sub(sentAt))
	}
	return shifted
}
