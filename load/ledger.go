package load

import (
	"maps"
	"math"
	"slices"
	"time"

	"citronspread/model"
)

const (
	// reportTTL is how long the report of an entry host counts. Hosts report each half second while they have requests there.
	reportTTL = 3 * time.Second
	// rateDecay is the time constant of the rate of requests. It spans a few reports.
	rateDecay = 2 * time.Second
	// reservationTTL is longer than the time from a reservation to the report that shows its request.
	reservationTTL = 1500 * time.Millisecond
	// reservationLag is the time after which a report of the same host shows the request: the reply to the reservation and the
	// report take less.
	reservationLag  = 200 * time.Millisecond
	maxReservations = 4096
	// maxReporters bounds the hosts whose reports are kept for one backend server.
	maxReporters = 1024
)

// Report is what one entry host has on a backend server.
type Report struct {
	Started  int // requests sent since its last report
	Requests int // in progress
	Tokens   int // of the prompts and longest possible answers of these
}

// Ledger sums the reports of the entry hosts about one backend server. Its owner keeps it.
type Ledger struct {
	reports  map[string]heldByHost
	reserved []reservation // places of requests that no report shows yet
	rate     float64       // requests per second, as of rateAt
	rateAt   time.Time
	Pacer    Pacer
}

type heldByHost struct {
	requests int
	tokens   int
	at       time.Time
}

// Record replaces the last report of a host.
func (l *Ledger) Record(now time.Time, host string, r Report) {
	if l.reports == nil {
		l.reports = make(map[string]heldByHost)
	}
	l.rate = l.rateAtTime(now) + float64(min(max(0, r.Started), MaxRequests))/rateDecay.Seconds()
	l.rateAt = now
	l.reserved = slices.DeleteFunc(l.reserved, func(reserved reservation) bool {
		return reserved.host == host && now.Sub(reserved.at) > reservationLag
	})
	if r.Requests <= 0 {
		delete(l.reports, host)
		return
	}
	if _, known := l.reports[host]; !known && len(l.reports) >= maxReporters {
		l.expire(now)
		if len(l.reports) >= maxReporters {
			return
		}
	}
	l.reports[host] = heldByHost{requests: min(r.Requests, MaxRequests), tokens: min(max(0, r.Tokens), MaxTokens), at: now}
}

// Sum returns the sum of the reports that count.
func (l *Ledger) Sum(now time.Time) model.HeldLoad {
	l.expire(now)
	sum := model.HeldLoad{Requests: len(l.reserved), Rate: l.rateAtTime(now), At: now}
	for _, r := range l.reserved {
		sum.Tokens += r.tokens
	}
	for _, h := range l.reports {
		sum.Requests += h.requests
		sum.Tokens += h.tokens
	}
	return sum
}

func (l *Ledger) expire(now time.Time) {
	maps.DeleteFunc(l.reports, func(_ string, h heldByHost) bool { return now.Sub(h.at) >= reportTTL })
	l.reserved = slices.DeleteFunc(l.reserved, func(r reservation) bool { return now.Sub(r.at) >= reservationTTL })
}

func (l *Ledger) rateAtTime(now time.Time) float64 {
	return l.rate * math.Exp(-now.Sub(l.rateAt).Seconds()/rateDecay.Seconds())
}

// Place is what a host asks the owner of a backend server for, before it sends a request there.
type Place struct {
	Host   string
	Tokens int // of the request
}

// Room is what a backend server can hold.
type Room struct {
	Requests float64 // 0 for no limit
	Tokens   int     // 0 for no limit
}

// HasRoom reports whether there is a place for a request.
func (l *Ledger) HasRoom(now time.Time, p Place, room Room) bool {
	l.expire(now)
	requests, tokens := len(l.reserved), 0
	for _, r := range l.reserved {
		tokens += r.tokens
	}
	for _, h := range l.reports {
		requests += h.requests
		tokens += h.tokens
	}
	if room.Requests > 0 && float64(requests) >= room.Requests {
		return false
	}
	if room.Tokens > 0 && tokens+p.Tokens > room.Tokens && tokens > 0 {
		return false
	}
	return len(l.reserved) < maxReservations
}

// Reserve takes a place for a request and reports whether there was one. The reservation counts until the host's next report
// shows the request, at most for reservationTTL.
func (l *Ledger) Reserve(now time.Time, p Place, room Room) bool {
	if !l.HasRoom(now, p, room) {
		return false
	}
	l.reserved = append(l.reserved, reservation{host: p.Host, tokens: min(max(0, p.Tokens), MaxTokens), at: now})
	return true
}

type reservation struct {
	host   string
	tokens int
	at     time.Time
}
