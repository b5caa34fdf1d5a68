package routing

import (
	"time"

	"citronspread/model"
)

const (
	// maxBackOff bounds the time for which a backend server may turn requests away. One that states hours by mistake is tried
	// again each five minutes.
	maxBackOff = 5 * time.Minute
	// rampTime is the time after a back-off in which requests follow each other at intervals, from rampInterval down to none, so
	// that those that wait do not arrive in one burst.
	rampTime     = time.Second
	rampInterval = 50 * time.Millisecond
)

// backOff is the time in which an incarnation of a backend server wants no requests of this host.
type backOff struct {
	born     int64     // start time of the incarnation, 0 if unknown
	statedAt time.Time // of the statement that set until
	until    time.Time
	sentAt   time.Time // when a request was last granted after the end
}

// nextAt returns when the next request may be sent, the zero time if at once.
func (b *backOff) nextAt(now time.Time) time.Time {
	after := now.Sub(b.until)
	if after < 0 {
		return b.until
	}
	interval := time.Duration(float64(rampInterval) * (1 - after.Seconds()/rampTime.Seconds()))
	if at := b.sentAt.Add(interval); at.After(now) {
		return at
	}
	return time.Time{}
}

// isOver reports whether the back-off no longer has any effect.
func (b *backOff) isOver(now time.Time) bool { return now.Sub(b.until) >= rampTime }

// backOffOf returns the back-off of an incarnation of a backend server, nil if it has none.
func (s *statements) backOffOf(now time.Time, backend string, born int64) *backOff {
	b := s.backOffs[backend]
	if b == nil || b.born < born || b.isOver(now) {
		return nil
	}
	return b
}

// backOffEnd returns the end of a backend server's back-off, false if it wants requests now.
func (s *statements) backOffEnd(now time.Time, backend string, born int64) (time.Time, bool) {
	b := s.backOffOf(now, backend, born)
	if b == nil || !now.Before(b.until) {
		return time.Time{}, false
	}
	return b.until, true
}

// rampNextAt returns when the next request may be sent after a back-off has ended, the zero time if at once.
func (s *statements) rampNextAt(now time.Time, backend string, born int64) time.Time {
	b := s.backOffOf(now, backend, born)
	if b == nil {
		return time.Time{}
	}
	return b.nextAt(now)
}

// recordSent records that a request is granted to a backend server.
func (s *statements) recordSent(now time.Time, backend string) {
	if b := s.backOffs[backend]; b != nil {
		b.sentAt = now
	}
}

// recordBackOff records a back-off, at most maxBackOff long. Of several of an incarnation the latest end counts, since each of
// them holds for the response that stated it. It reports whether the incarnation was not in back-off before.
func (s *statements) recordBackOff(now time.Time, backend string, born int64, wait time.Duration) (until time.Time, news bool) {
	until = now.Add(min(wait, maxBackOff))
	known := s.backOffs[backend]
	if known != nil && known.born > born {
		return until, false // a response of an earlier incarnation
	}
	if known == nil || known.born < born || !now.Before(known.until) {
		s.backOffs[backend] = &backOff{born: born, statedAt: now, until: until}
		return until, true
	}
	if until.After(known.until) {
		known.statedAt, known.until = now, until
	}
	return known.until, false
}

// RecordBackOff records that an incarnation of a backend server wants no requests of this host for some time. It reports until
// when, and whether the incarnation was not in back-off before.
func (r *Router) RecordBackOff(now time.Time, backend string, born int64, wait time.Duration) (until time.Time, news bool) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	if wait <= 0 {
		return now, false
	}
	until, news = r.stated.recordBackOff(now, backend, born, wait)
	r.dispatch(now) // refuses the requests that no other backend server can serve
	r.stated.notify()
	return until, news
}

// BackOffEnd returns until when a backend server wants no requests of this host, false if it wants requests now.
func (r *Router) BackOffEnd(now time.Time, backend string, born int64) (time.Time, bool) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stated.backOffEnd(now, backend, born)
}

// allInBackOff returns the backend servers that could serve the target if all of them are in back-off, and the earliest end.
func (r *Router) allInBackOff(now time.Time, target Target) (backends []string, end time.Time) {
	routed := r.index.find(target.Key)
	if len(r.stated.backOffs) == 0 || routed == nil {
		return nil, time.Time{}
	}
	for i := range routed.Replicas {
		replica := &routed.Replicas[i]
		if !r.mayServe(now, target, replica) {
			continue
		}
		until, inBackOff := r.stated.backOffEnd(now, replica.Backend, replica.Born)
		if !inBackOff {
			return nil, time.Time{}
		}
		backends = append(backends, replica.Backend)
		end = earliest(end, until)
	}
	return backends, end
}

// allEndpointsInBackOff is allInBackOff for a plain service, whose targets name a software version at most.
func (r *Router) allEndpointsInBackOff(now time.Time, target Target, service string) (backends []string, end time.Time) {
	for _, e := range r.index.endpoints[service] {
		if !target.allows(e) || !r.mayCall(now, e) {
			continue
		}
		until, inBackOff := r.stated.backOffEnd(now, backendOf(e), e.Born)
		if !inBackOff {
			return nil, time.Time{}
		}
		backends, end = append(backends, backendOf(e)), earliest(end, until)
	}
	return backends, end
}

// mayCall reports whether an endpoint may be called, apart from a back-off of its backend server.
func (r *Router) mayCall(now time.Time, e model.ServiceEndpoint) bool {
	return !e.Leaving && !r.stated.isLeaving(now, backendOf(e), e.Born)
}

// BackOffWait returns the time until the first of the backend servers that could serve a request wants requests again, 0 if one
// of them wants requests now.
func (r *Router) BackOffWait(now time.Time, target Target, service string) time.Duration {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	backends, end := r.allInBackOff(now, target)
	if target.Key.Model == "" {
		backends, end = r.allEndpointsInBackOff(now, target, service)
	}
	if len(backends) == 0 {
		return 0
	}
	return end.Sub(now)
}

// refuseInBackOff refuses a waiting ticket whose backend servers are all in back-off, the first until end.
func (r *Router) refuseInBackOff(now time.Time, t *Ticket, backends []string, end time.Time) {
	turn := r.refusedTurnOf(now, t)
	if r.queue.Refuse(now, t) {
		t.resolve(result{err: &RefusedError{Reason: ReasonBackOff, RetryAfter: end.Sub(now), Backends: backends, Turn: turn}})
	}
}

// earliest returns the earlier of two times. A zero time counts as none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
