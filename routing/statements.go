package routing

import (
	"maps"
	"slices"
	"time"

	"citronspread/model"
)

const (
	// unknownIncarnationTTL is how long a backend server without a known start time counts as leaving. Another incarnation at
	// the same address can't be told from it, and gets no requests meanwhile.
	unknownIncarnationTTL = time.Minute
	// departureRetention is how long it is kept that a backend server is leaving which is not listed. A restored store may list
	// it again.
	departureRetention = 2 * time.Minute
)

// statements holds what backend servers have stated about themselves, by the names of the backend servers: their limits, that
// they are leaving and their back-off.
type statements struct {
	limits
	departures map[string]departure
	backOffs   map[string]*backOff
}

// departure records that an incarnation of a backend server is leaving.
type departure struct {
	born     int64     // start time of the incarnation, 0 if unknown
	statedAt time.Time // when an entry host first learned of it
	statedTo string    // name of that entry host
}

func newStatements() statements {
	return statements{limits: newLimits(), departures: make(map[string]departure), backOffs: make(map[string]*backOff)}
}

// isValid reports whether the statement applies to an incarnation that started at the given time. It also applies to an earlier
// one, whose entry in the list is older than the statement.
func (d departure) isValid(now time.Time, born int64) bool {
	if d.statedAt.IsZero() || d.born < born {
		return false
	}
	return d.born != 0 || now.Sub(d.statedAt) < unknownIncarnationTTL
}

// isLeaving reports whether the incarnation of a backend server has stated that it is leaving.
func (s *statements) isLeaving(now time.Time, backend string, born int64) bool {
	return s.departures[backend].isValid(now, born)
}

// mergeDeparture merges a statement that a backend server is leaving, and reports whether it is news. The first statement of an
// incarnation counts; those of earlier incarnations are ignored.
func (s *statements) mergeDeparture(now time.Time, backend string, d departure) (news bool) {
	known, found := s.departures[backend]
	if d.statedAt.IsZero() || found && d.born <= known.born && known.isValid(now, known.born) {
		return false
	}
	s.departures[backend] = d
	return true
}

// merge merges a statement of another entry host and reports whether it changes anything.
func (s *statements) merge(now time.Time, stated model.BackendStatement) (changed bool) {
	if !stated.At.IsZero() {
		changed = s.limits.merge(stated)
	}
	leaving := departure{born: stated.Born, statedAt: stated.LeavingAt, statedTo: stated.StatedTo}
	return s.mergeDeparture(now, stated.Backend, leaving) || changed
}

// statement returns what is known of a backend server.
func (s *statements) statement(backend string) model.BackendStatement {
	stated := s.limits.statement(backend)
	if d, found := s.departures[backend]; found {
		stated.Born, stated.LeavingAt, stated.StatedTo = d.born, d.statedAt, d.statedTo
	}
	return stated
}

// retain removes the statements of the backend servers that are gone, and of earlier incarnations. listed returns the start time of
// a listed backend server.
func (s *statements) retain(now time.Time, listed func(backend string) (born int64, found bool)) {
	s.limits.retain(now, func(backend string) bool {
		_, found := listed(backend)
		return found
	})
	maps.DeleteFunc(s.departures, func(backend string, d departure) bool {
		born, found := listed(backend)
		return found && d.born < born || !found && now.Sub(d.statedAt) > departureRetention
	})
	maps.DeleteFunc(s.backOffs, func(backend string, b *backOff) bool {
		born, found := listed(backend)
		return found && b.born < born
	})
}

// Names of statements in logs and in the state dump.
const (
	statementLimit   = "limit"
	statementLeaving = "leaving"
	statementBackOff = "back-off"
)

// StatementState describes a statement that keeps requests from a backend server now.
type StatementState struct {
	Backend   string
	Statement string        // limit, leaving or back-off
	StatedTo  string        // entry host that got the statement first
	StatedFor time.Duration // its age
	Left      time.Duration // until it ends, 0 if that is not known
}

// String returns the backend server, the statement and its age, as in logs.
func (s StatementState) String() string {
	return s.Backend + ":" + s.Statement + ":" + s.StatedFor.Round(time.Millisecond).String()
}

// withholding returns the statement that keeps requests from an incarnation of a backend server now, false if none does.
func (r *Router) withholding(now time.Time, backend string, born int64) (StatementState, bool) {
	if d := r.stated.departures[backend]; d.isValid(now, born) {
		return StatementState{Backend: backend, Statement: statementLeaving, StatedTo: d.statedTo, StatedFor: now.Sub(d.statedAt)}, true
	}
	if until, inBackOff := r.stated.backOffEnd(now, backend, born); inBackOff {
		return StatementState{Backend: backend, Statement: statementBackOff, StatedTo: r.Name, StatedFor: now.Sub(r.stated.backOffs[backend].statedAt), Left: until.Sub(now)}, true
	}
	if a := r.stated.allowances[backend]; a != nil && a.Sendable(now) == 0 {
		at, _ := a.NextAt(now)
		return StatementState{Backend: backend, Statement: statementLimit, StatedFor: now.Sub(a.StatedAt), Left: max(0, at.Sub(now))}, true
	}
	return StatementState{}, false
}

// Withheld returns the statements that keep a request for the target, or for a plain service, from backend servers now.
func (r *Router) Withheld(now time.Time, target Target, service string) (withheld []StatementState) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stated.isEmpty() {
		return nil
	}
	add := func(backend string, born int64) {
		if s, found := r.withholding(now, backend, born); found {
			withheld = append(withheld, s)
		}
	}
	if target.Key.Model == "" {
		for _, e := range r.index.endpoints[service] {
			add(backendOf(e), e.Born)
		}
		return withheld
	}
	if routed := r.index.find(target.Key); routed != nil {
		for i := range routed.Replicas {
			add(routed.Replicas[i].Backend, routed.Replicas[i].Born)
		}
	}
	return withheld
}

// isEmpty reports whether no backend server states anything.
func (s *statements) isEmpty() bool {
	return len(s.allowances)+len(s.departures)+len(s.backOffs) == 0
}

// statementStates returns the departures and back-offs for the state dump, by the names of the backend servers.
func (r *Router) statementStates(now time.Time) (states []StatementState) {
	for _, backend := range slices.Sorted(maps.Keys(r.stated.departures)) {
		if s, found := r.withholding(now, backend, r.stated.departures[backend].born); found {
			states = append(states, s)
		}
	}
	for _, backend := range slices.Sorted(maps.Keys(r.stated.backOffs)) {
		if s, found := r.withholding(now, backend, r.stated.backOffs[backend].born); found && s.Statement == statementBackOff {
			states = append(states, s)
		}
	}
	return states
}

// expire removes the departures and back-offs that are over.
func (s *statements) expire(now time.Time) {
	maps.DeleteFunc(s.departures, func(_ string, d departure) bool { return !d.isValid(now, d.born) })
	maps.DeleteFunc(s.backOffs, func(_ string, b *backOff) bool { return b.isOver(now) })
}

// RecordLeaving records that an incarnation of a backend server has stated in a response that it is leaving. It reports whether
// that is news, of which the other entry hosts are told.
func (r *Router) RecordLeaving(now time.Time, backend string, born int64) (news bool) {
	r.once.Do(r.init)
	r.mu.Lock()
	news = r.stated.mergeDeparture(now, backend, departure{born: born, statedAt: now, statedTo: r.Name})
	if news {
		r.stated.reports = append(r.stated.reports, AllowanceRequest{Limit: r.stated.statement(backend)})
		r.stated.notify()
	}
	requests := r.stated.take(now)
	r.mu.Unlock()
	r.requestAllowances(requests)
	return news
}

// IsLeaving reports whether the incarnation of a backend server has stated that it is leaving.
func (r *Router) IsLeaving(now time.Time, backend string, born int64) bool {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stated.isLeaving(now, backend, born)
}

// Departures returns the statements of the backend servers that are leaving.
func (r *Router) Departures() []model.BackendStatement {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	var leaving []model.BackendStatement
	for backend := range r.stated.departures {
		leaving = append(leaving, r.stated.statement(backend))
	}
	return leaving
}

// MergeStatements merges what other entry hosts have been told by backend servers, and returns the changes.
func (r *Router) MergeStatements(now time.Time, stated []model.BackendStatement) (changes []model.BackendStatement) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range stated {
		if r.stated.merge(now, s) {
			changes = append(changes, s)
		}
	}
	if len(changes) > 0 {
		r.stated.notify()
	}
	return changes
}

// RetainStatements removes the statements of the backend servers that are gone, and of earlier incarnations. listed returns the
// start time of a listed backend server.
func (r *Router) RetainStatements(now time.Time, listed func(backend string) (born int64, found bool)) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stated.retain(now, listed)
}

// Statements returns what backend servers state now.
func (r *Router) Statements() []model.BackendStatement {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	stated := make([]model.BackendStatement, 0, len(r.stated.allowances)+len(r.stated.departures))
	for backend := range r.stated.allowances {
		stated = append(stated, r.stated.statement(backend))
	}
	for backend := range r.stated.departures {
		if r.stated.allowances[backend] == nil {
			stated = append(stated, r.stated.statement(backend))
		}
	}
	return stated
}

// StatementCounts counts the backend servers by what they state.
type StatementCounts struct {
	Limited   int // they take a number of requests per second
	Leaving   int
	InBackOff int // they want no requests of this host for some time
}

// CountStatements counts the backend servers by what they state now.
func (r *Router) CountStatements(now time.Time) StatementCounts {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := StatementCounts{Limited: len(r.stated.allowances)}
	for _, d := range r.stated.departures {
		if d.isValid(now, d.born) {
			counts.Leaving++
		}
	}
	for _, b := range r.stated.backOffs {
		if now.Before(b.until) {
			counts.InBackOff++
		}
	}
	return counts
}

// Statement returns what is known of a backend server.
func (r *Router) Statement(backend string) model.BackendStatement {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stated.statement(backend)
}
