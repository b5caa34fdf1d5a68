package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"citronspread/load"
	"citronspread/model"
	"citronspread/peer"
	"citronspread/routing"
)

const (
	// loadsInterval is the time between two exchanges of loads with the relay. It is twice as long in zones of more than
	// largeZone hosts: 256 backend servers take about 11 kB, which the relay sends to each of them.
	loadsInterval = time.Second
	largeZone     = 32
	// relayLoadRecords is how many loads a second a relay sends to all of its followers together, about 400 kB. Links of entry hosts
	// carry 1.2 MB a second at the least, and changes of the desired state use them too.
	relayLoadRecords = 9000
	// reserveTimeout limits the request for a place. The owner replies without its control thread.
	reserveTimeout = 100 * time.Millisecond
	// ownerPause is how long an owner that did not reply is not asked for a place again, so that not every request waits for
	// the timeout.
	ownerPause = time.Second
	// promptTokensPerMillisecond is how many tokens of a prompt an engine reads in a millisecond, those included that it finds in its
	// cache.
	promptTokensPerMillisecond = 25
	// maxReading bounds the times that another host states of a prompt.
	maxReading = 10 * time.Second
	// turnShare is the part of the latency target that a prompt may wait for its turn at a backend server.
	turnShare = 0.25
	// maxDenials bounds the places that one request asks for in vain before it is refused.
	maxDenials = 16
)

// loadBook sums up what the entry hosts have on the backend servers that this host owns. Handlers of calls use it directly, so
// that the reply to a request for a place does not wait for the control thread.
type loadBook struct {
	mu      sync.Mutex
	entries map[string]*loadEntry // by backend server
	failed  map[string]time.Time  // by peer address of an owner: when it last did not reply to a request for a place
}

type loadEntry struct {
	ledger load.Ledger
	room   load.Room
	since  time.Time // when this host became the owner
}

func newLoadBook() *loadBook {
	return &loadBook{entries: make(map[string]*loadEntry), failed: make(map[string]time.Time)}
}

// own sets the backend servers that this host owns, with the room of each.
func (b *loadBook) own(now time.Time, rooms map[string]load.Room) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.entries {
		if _, owned := rooms[id]; !owned {
			delete(b.entries, id)
		}
	}
	for id, room := range rooms {
		if b.entries[id] == nil {
			b.entries[id] = &loadEntry{since: now}
		}
		b.entries[id].room = room
	}
}

// record adds the report of a host and returns the sums of the owned backend servers.
func (b *loadBook) record(now time.Time, host string, usages []model.Usage) []model.BackendLoad {
	reports := make(map[string]load.Report)
	for _, u := range usages {
		r := reports[u.Backend]
		r.Started, r.Requests, r.Tokens = r.Started+u.Requests, r.Requests+u.Running, r.Tokens+u.Tokens
		reports[u.Backend] = r
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var sums []model.BackendLoad
	for id, e := range b.entries {
		if r, reported := reports[id]; reported {
			e.ledger.Record(now, host, r)
		}
		sums = append(sums, e.sum(now, id))
	}
	return sums
}

// sum returns the sum of the reports. A new owner has those of all hosts after usageInterval and a margin; until then its sum
// is not known.
func (e *loadEntry) sum(now time.Time, id string) model.BackendLoad {
	if now.Sub(e.since) < 2*usageInterval {
		return model.BackendLoad{Backend: id}
	}
	return model.BackendLoad{Backend: id, Held: e.ledger.Sum(now)}
}

// reserve takes a place on an owned backend server, and the turn of a prompt there after a wait. known is false if this host does not
// know what is there.
func (b *loadBook) reserve(now time.Time, backend string, p load.Place, prompt load.Prompt) (sum model.BackendLoad, known, placed bool, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[backend]
	if e == nil || now.Sub(e.since) < 2*usageInterval {
		return model.BackendLoad{}, false, false, 0
	}
	if !e.ledger.HasRoom(now, p, e.room) {
		return e.sum(now, backend), true, false, 0
	}
	if prompt.Reading > 0 {
		var taken bool
		if wait, taken = e.ledger.Pacer.Begin(now, prompt); !taken {
			return e.sum(now, backend), true, false, wait
		}
	}
	placed = e.ledger.Reserve(now, p, e.room)
	return e.sum(now, backend), true, placed, wait
}

// forget empties the ledger of a backend server that was restarted.
func (b *loadBook) forget(now time.Time, backend string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[backend]; e != nil {
		e.ledger = load.Ledger{}
	}
}

// mayAsk reports whether an owner may be asked for a place.
func (b *loadBook) mayAsk(now time.Time, owner string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, failed := b.failed[owner]
	if failed && now.Sub(at) >= ownerPause {
		delete(b.failed, owner)
	}
	return !failed || now.Sub(at) >= ownerPause
}

func (b *loadBook) recordFailure(now time.Time, owner string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed[owner] = now
}

// stepLoads passes the owned backend servers and their room to the book, and the owners to the goroutines that serve requests.
func (h *Host) stepLoads(now time.Time) {
	if now.Sub(h.loadsSteppedAt) < tickInterval {
		return
	}
	h.loadsSteppedAt = now
	rooms := make(map[string]load.Room, len(h.owned))
	for id, b := range h.owned {
		view := h.view.known(id)
		if view == nil {
			continue
		}
		slots := view.listing.Slots
		if slots <= 0 {
			slots = h.router.Policy.DefaultCapacity
		}
		rooms[id] = load.Room{
			Requests: h.router.Policy.FillFactor * float64(slots),
			Tokens:   int(routing.MemoryShare * float64(b.account.Spec.CacheTokens)),
		}
	}
	h.loads.own(now, rooms)
	h.publishOwners()
}

// publishOwners publishes the peer addresses of the owners if they have changed.
func (h *Host) publishOwners() {
	var published map[string]string
	if p := h.ownerAddresses.Load(); p != nil {
		published = *p
	}
	count, same := 0, true
	for id := range h.view.backends {
		if address, known := h.ownerAddress(id); known {
			count++
			same = same && published[id] == address
		}
	}
	if same && count == len(published) {
		return
	}
	current := make(map[string]string, count)
	for id := range h.view.backends {
		if address, known := h.ownerAddress(id); known {
			current[id] = address
		}
	}
	h.ownerAddresses.Store(&current)
}

// receiveUsage adds the report of a host and returns the loads of the backend servers that this host owns.
func (h *Host) receiveUsage(now time.Time, request *peer.UsageRequest) []peer.LoadRecord {
	h.router.MergeLoads(now, load.Receive(now, peer.Loads(now, request.Loads)), false)
	sums := h.loads.record(now, request.From, request.Usages)
	h.router.MergeLoads(now, load.Receive(now, sums), false)
	known := make([]model.BackendLoad, 0, len(sums))
	for _, s := range sums {
		if l, found := h.router.Load(s.Backend); found {
			known = append(known, l)
		}
	}
	return peer.NewLoadRecords(now, known)
}

// loadsOf returns what this host knows of the backend servers of its usages.
func (h *Host) loadsOf(now time.Time, usages []model.Usage) []peer.LoadRecord {
	var known []model.BackendLoad
	seen := make(map[string]bool)
	for _, u := range usages {
		if seen[u.Backend] {
			continue
		}
		seen[u.Backend] = true
		if l, found := h.router.Load(u.Backend); found {
			l.Held = model.HeldLoad{} // the owner has it
			known = append(known, l)
		}
	}
	return peer.NewLoadRecords(now, known)
}

// mergeLoads merges what another host knows of backend servers.
func (h *Host) mergeLoads(records []peer.LoadRecord, relayed bool) {
	now := h.Now()
	h.router.MergeLoads(now, load.Receive(now, peer.Loads(now, records)), relayed)
}

// loadExchange is the state of a host's exchange of loads with its relay.
type loadExchange struct {
	relay   string
	after   int64 // the relay's sequence number of the last load
	told    int64 // the own sequence number of the last load that the relay was told
	askedAt time.Time
}

// askForLoads adds what this host has learned to a request to a relay, if an exchange is due, and returns its sequence number.
func (h *Host) askForLoads(now time.Time, relay string, request *peer.FollowRequest) (told int64) {
	x := &h.loadExchange
	interval := loadsInterval
	if s := h.snapshot.Load(); s != nil && s.Routers > largeZone {
		interval = 2 * loadsInterval
	}
	if x.relay == relay && now.Sub(x.askedAt) < interval {
		return 0
	}
	if x.relay != relay {
		*x = loadExchange{relay: relay}
	}
	x.askedAt = now
	learned, told := h.router.LoadsAfter(now, x.told, true)
	request.Loads, request.LoadsAfter, request.AcceptsLoads = peer.NewLoadRecords(now, load.Receive(now, learned)), x.after, true
	return told
}

// receiveLoads merges the loads of a relay's reply.
func (h *Host) receiveLoads(told int64, reply *peer.FollowReply) {
	h.loadExchange.after, h.loadExchange.told = reply.LoadSequence, told
	h.mergeLoads(reply.Loads, true)
}

// replyWithLoads merges the loads that a follower has learned and adds those that it does not know to the reply.
func (h *Host) replyWithLoads(request *peer.FollowRequest, reply *peer.FollowReply) {
	if !request.AcceptsLoads {
		return
	}
	h.mergeLoads(request.Loads, false)
	now := h.Now()
	known, sequence := h.router.LoadsAfter(now, request.LoadsAfter, false)
	if s := h.snapshot.Load(); s != nil {
		known = newestLoads(known, relayedLoads(s.Routers))
	}
	reply.Loads, reply.LoadSequence = peer.NewLoadRecords(now, load.Receive(now, known)), sequence
}

// relayedLoads returns how many loads a relay sends to a follower at most in one reply, in a zone of a number of hosts.
func relayedLoads(hosts int) int {
	interval := loadsInterval
	if hosts > largeZone {
		interval = 2 * loadsInterval
	}
	return int(relayLoadRecords * interval.Seconds() / float64(max(1, hosts)))
}

// newestLoads returns the loads of which the latest is known, at most a number of them. The others are old enough to have little weight.
func newestLoads(loads []model.BackendLoad, most int) []model.BackendLoad {
	if len(loads) <= most {
		return loads
	}
	slices.SortStableFunc(loads, func(a, b model.BackendLoad) int { return knownAt(b).Compare(knownAt(a)) })
	return loads[:most]
}

// knownAt returns when the latest part of a load was known.
func knownAt(l model.BackendLoad) time.Time {
	return slices.MaxFunc([]time.Time{l.Stated.At, l.Held.At, l.FullAt}, time.Time.Compare)
}

// reserve takes a place on a backend server that this host owns.
func (h *Host) reserve(now time.Time, request *peer.ReserveRequest) *peer.ReserveReply {
	prompt := load.Prompt{Reading: min(max(0, request.Reading), maxReading), Gap: min(max(0, request.Gap), maxReading), MaxWait: request.MaxWait, IsOnly: request.IsOnly}
	sum, known, placed, wait := h.loads.reserve(now, request.Backend, load.Place{Host: request.From, Tokens: request.Tokens}, prompt)
	if !known {
		return &peer.ReserveReply{}
	}
	return &peer.ReserveReply{Known: true, Placed: placed, Wait: wait, Loads: peer.NewLoadRecords(now, []model.BackendLoad{sum})}
}

// promptOf returns what the owner of a backend server must know of the prompt of a request to give it a turn. It is empty if the route
// states no longest pause of its streams.
func promptOf(r RoutedRequest) load.Prompt {
	if r.Route.Kind != model.RouteStream || r.Route.GapTarget <= 0 {
		return load.Prompt{}
	}
	reading := time.Duration(promptTokens(r)) * time.Millisecond / promptTokensPerMillisecond
	return load.Prompt{Reading: min(reading, maxReading), Gap: r.Route.GapTarget, MaxWait: time.Duration(turnShare * float64(r.Route.LatencyTarget))}
}

// takePlace asks the owner of the backend server for a place if the grant needs one, and for the turn of the request's prompt, for which
// it waits. It reports whether there is a place. If the owner does not reply, what this host knows decides.
func (d *Dispatcher) takePlace(ctx context.Context, r RoutedRequest, g *routing.Grant) bool {
	h, id, prompt := d.host, r.ID, promptOf(r)
	if !g.NeedsPlace() && prompt.Reading == 0 {
		return true
	}
	backend, owner := g.Replica.Backend, ""
	if owners := h.ownerAddresses.Load(); owners != nil {
		owner = (*owners)[backend]
	}
	request := &peer.ReserveRequest{From: h.Name, Backend: backend, Tokens: g.Tokens(), Reading: prompt.Reading, Gap: prompt.Gap, MaxWait: prompt.MaxWait, IsOnly: g.IsOnly(h.Now())}
	reply, err := h.askForPlace(ctx, owner, request)
	now := h.Now()
	if err != nil || !reply.Known {
		placed := !g.NeedsPlace() || g.MayGoWithoutPlace(now)
		h.Metrics.CountPlace("no reply")
		h.Log.Info("place not known", zap.String("Request", id), zap.String("Backend", backend), zap.String("Owner", owner), zap.Bool("Sent", placed), zap.Error(err))
		return placed
	}
	h.mergeLoads(reply.Loads, false)
	if reply.Placed {
		h.Metrics.CountPlace("placed")
		h.Metrics.ObserveTurnWait(reply.Wait)
		g.Placed()
		if wait := min(reply.Wait, prompt.MaxWait); wait > 0 {
			h.Log.Info("prompt waits for its turn", zap.String("Request", id), zap.String("Backend", backend), zap.String("Owner", owner), zap.Duration("Wait", wait))
			g.Await(ctx, wait)
		}
		return true
	}
	h.Metrics.CountPlace("denied")
	l, _ := h.router.Load(backend)
	h.Log.Info("no place", zap.String("Request", id), zap.String("Backend", backend), zap.String("Owner", owner), zap.Int("Tokens", request.Tokens),
		zap.Int("Held", l.Held.Requests), zap.Int("HeldTokens", l.Held.Tokens), zap.Duration("TurnWait", reply.Wait))
	return false
}

// askForPlace sends a request for a place to an owner, which may be this host. It returns an empty reply if no owner is known
// or it did not reply shortly before.
func (h *Host) askForPlace(ctx context.Context, owner string, request *peer.ReserveRequest) (*peer.ReserveReply, error) {
	switch {
	case owner == h.PeerAddress:
		return h.reserve(h.Now(), request), nil
	case owner == "" || !h.loads.mayAsk(h.Now(), owner):
		return &peer.ReserveReply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reply, err := h.Peers.Reserve(ctx, owner, request)
	if err != nil {
		h.loads.recordFailure(h.Now(), owner)
	}
	return reply, err
}

// RecordLoad records what a response of a backend server says about its load.
func (d *Dispatcher) RecordLoad(now time.Time, backend string, s routing.LoadStatement) {
	d.host.router.RecordLoad(now, backend, s)
}

// RecordInvalidLoad logs, once for each backend server, a load that could not be read.
func (d *Dispatcher) RecordInvalidLoad(_ time.Time, backend, id string, err error) {
	d.host.Metrics.CountInvalidLoad()
	if _, logged := d.invalidLoads.LoadOrStore(backend, true); !logged {
		d.host.Log.Warn("load not read", zap.String("Backend", backend), zap.String("Request", id), zap.Error(err))
	}
}

// forgetBackend removes what is known of a backend server that was restarted or has been gone for long.
func (h *Host) forgetBackend(now time.Time, id string) {
	h.router.ForgetLimit(id)
	h.router.ForgetLoad(id)
	h.loads.forget(now, id)
}

// BackendLoad is the total load of a backend server, of all entry hosts together.
type BackendLoad struct {
	Running  int           // requests in its batch
	Waiting  int           // requests that it queues
	Tokens   int           // that these requests may take
	Rate     float64       // requests per second
	Age      time.Duration // of Running and Waiting
	Slots    int           // requests that its batch can hold
	Slowness float64       // time of a step as a multiple of the usual one
}

// BackendLoad returns the total load of a backend server, false if nothing recent is known. Of the server's own statement and
// the sum of the hosts' reports, it returns the newer one; the sum does not tell which requests run, so those beyond the slots
// count as waiting. It is called on the control thread.
func (h *Host) BackendLoad(now time.Time, backend string) (BackendLoad, bool) {
	known, found := h.router.Load(backend)
	if !found || known.Stated.At.IsZero() && known.Held.At.IsZero() {
		return BackendLoad{}, false
	}
	total := BackendLoad{Tokens: known.Held.Tokens, Rate: known.Held.Rate, Slots: known.Stated.Slots, Slowness: 1}
	if b := h.view.backends[backend]; b != nil && b.listing.Slots > 0 {
		total.Slots = b.listing.Slots
	}
	if s := known.Stated; !s.At.IsZero() {
		total.Slowness = float64(s.Slowness) / 100
	}
	if s := known.Stated; !s.At.Before(known.Held.At) {
		total.Running, total.Waiting, total.Age = s.Running, s.Waiting, now.Sub(s.At)
	} else {
		total.Running, total.Age = known.Held.Requests, now.Sub(known.Held.At)
		if total.Slots > 0 {
			total.Running = min(total.Slots, known.Held.Requests)
			total.Waiting = known.Held.Requests - total.Running
		}
	}
	return total, total.Age <= load.MaxAge
}

// Load returns what is known of the load of a backend server.
func (d *Dispatcher) Load(backend string) (model.BackendLoad, bool) {
	return d.host.router.Load(backend)
}

// LoadSummary returns a summary of the known loads for the metrics.
func (h *Host) LoadSummary() routing.LoadSummary { return h.router.LoadSummary(h.Now()) }
