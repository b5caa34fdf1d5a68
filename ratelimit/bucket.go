package ratelimit

import (
	"slices"
	"time"
)

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

// restoreTTL is how long an amount that has expired unused may go back to the zone's share. What goes back later than maxTokenAge after
// it was given would add to the cap in a later window.
const restoreTTL = maxTokenAge - capAllowanceTTL

// parcels holds amounts that may be used for a short time, in the order in which they arrived.
type parcels struct {
	held    []parcel
	expired []parcel // not used in time, for restoreTTL
}

func (p *parcels) add(now time.Time, count int, until time.Time) {
	if count > 0 {
		p.held = append(p.held, parcel{count: count, until: until})
	}
	p.expire(now)
}

// takeExpired returns the amount that has not been used in time and may go back to the zone's share, once.
func (p *parcels) takeExpired(now time.Time) (count int) {
	p.expire(now)
	for _, e := range p.expired {
		count += e.count
	}
	p.expired = nil
	return count
}

func (p *parcels) expire(now time.Time) {
	kept := p.held[:0]
	for _, h := range p.held {
		switch {
		case h.count <= 0:
		case now.Before(h.until):
			kept = append(kept, h)
		default:
			p.expired = append(p.expired, h)
		}
	}
	p.held = kept
	p.expired = slices.DeleteFunc(p.expired, func(e parcel) bool { return now.Sub(e.until) >= restoreTTL })
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

// take uses an amount that total covers, and returns the parts that it consists of.
func (p *parcels) take(now time.Time, count int) (taken []parcel) {
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
		taken = append(taken, parcel{count: used, until: h.until})
	}
	p.expire(now)
	return taken
}
