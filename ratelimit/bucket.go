package ratelimit

import "time"

// bucket is a token bucket. Its level is negative while a debt is paid off.
type bucket struct {
	perSecond float64
	capacity  float64
	debt      float64 // the largest debt that one request may leave behind
	level     float64
	updatedAt time.Time
}

// refill adds what has accrued since the last update.
func (b *bucket) refill(now time.Time) {
	elapsed := max(0, now.Sub(b.updatedAt))
	b.level = min(b.level+b.perSecond*elapsed.Seconds(), b.capacity)
	b.updatedAt = now
}

// required returns the level at which an amount may be taken at once. An amount above the capacity is taken from a full bucket
// and leaves a debt, which is bounded.
func (b *bucket) required(amount int) float64 {
	return max(min(float64(amount), b.capacity-rounding), float64(amount)-b.debt)
}

// rounding is the part of a token by which sums of accrued tokens may be wrong.
const rounding = 1e-6

// parcel is an amount that may be used until a time.
type parcel struct {
	count int
	until time.Time
}

// parcels holds amounts that may be used for a short time, in the order in which they arrived.
type parcels struct {
	held    []parcel
	expired int // amount that was not used in time
}

func (p *parcels) add(now time.Time, count int, until time.Time) {
	p.expire(now)
	switch {
	case count <= 0:
	case now.Before(until):
		p.held = append(p.held, parcel{count: count, until: until})
	default:
		p.expired += count
	}
}

// takeExpired returns the amount that was not used in time, once.
func (p *parcels) takeExpired(now time.Time) int {
	p.expire(now)
	expired := p.expired
	p.expired = 0
	return expired
}

func (p *parcels) expire(now time.Time) {
	kept := p.held[:0]
	for _, h := range p.held {
		switch {
		case h.count <= 0:
		case now.Before(h.until):
			kept = append(kept, h)
		default:
			p.expired += h.count
		}
	}
	p.held = kept
}

// total returns the amount that may be used now.
func (p *parcels) total(now time.Time) int {
	total := 0
	for _, h := range p.held {
		if now.Before(h.until) {
			total += h.count
		}
	}
	return total
}

// take uses an amount that total covers, and returns until when the last part of it could have been used.
func (p *parcels) take(now time.Time, count int) (until time.Time) {
	for i := range p.held {
		h := &p.held[i]
		if count == 0 {
			break
		}
		if !now.Before(h.until) {
			continue
		}
		used := min(count, h.count)
		h.count -= used
		count -= used
		until = h.until
	}
	p.expire(now)
	return until
}
