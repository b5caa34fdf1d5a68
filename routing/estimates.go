package routing

import (
	"math/bits"
	"time"

	"citronspread/model"
)

const (
	estimateWeight   = 0.1 // of a new sample
	estimateAge      = 30 * time.Second
	maxHistories     = 8192
	expectedHeadroom = 1.5 // expected tokens as a multiple of the mean
)

// mean is an exponentially weighted mean.
type mean struct {
	value float64
	known bool
	at    time.Time // of the last sample
}

func (m *mean) add(now time.Time, sample float64) {
	m.at = now
	if !m.known {
		m.value, m.known = sample, true
		return
	}
	m.value += estimateWeight * (sample - m.value)
}

// duration returns the mean of times, 0 when the last sample is too old to refuse requests by it.
func (m *mean) duration(now time.Time) time.Duration {
	d := time.Duration(m.value * float64(time.Second))
	if now.Sub(m.at) > max(estimateAge, 3*d) {
		return 0
	}
	return d
}

// historyKey tells apart the kinds of requests whose lengths differ.
type historyKey struct {
	target  Target
	service string
	bucket  int // size of max_tokens as a power of two
}

// history is what earlier requests of one kind took.
type history struct {
	tokens  mean
	service mean // seconds
}

// modelHistory is what a model took.
type modelHistory struct {
	service [classes]mean // seconds
	cold    mean          // seconds
}

// estimates learns lengths, service times and load times.
type estimates struct {
	kinds  map[historyKey]*history
	models map[model.ModelKey]*modelHistory
}

func newEstimates() estimates {
	return estimates{kinds: make(map[historyKey]*history), models: make(map[model.ModelKey]*modelHistory)}
}

// expectedTokens returns the expected length of the answer, 0 when nothing is known.
func (e *estimates) expectedTokens(r *Request) int {
	if r.Remaining > 0 {
		return r.Remaining
	}
	expected := r.MaxTokens
	h := e.kinds[keyOf(r)]
	if h == nil || !h.tokens.known {
		return expected
	}
	learned := int(h.tokens.value * expectedHeadroom)
	if expected == 0 {
		return learned
	}
	return min(expected, learned)
}

// expectedService returns the expected time to serve the request, 0 when nothing is known.
func (e *estimates) expectedService(now time.Time, r *Request) time.Duration {
	h := e.kinds[keyOf(r)]
	if h == nil {
		return 0
	}
	return h.service.duration(now)
}

// served learns from a whole answer.
func (e *estimates) served(now time.Time, r *Request, class Class, tokens int, took time.Duration) {
	if r.Remaining > 0 {
		return
	}
	key := keyOf(r)
	h := e.kinds[key]
	if h == nil {
		if len(e.kinds) >= maxHistories {
			clear(e.kinds)
		}
		h = &history{}
		e.kinds[key] = h
	}
	h.tokens.add(now, float64(tokens))
	h.service.add(now, took.Seconds())
	e.model(r.Target.Key).service[class].add(now, took.Seconds())
}

// loaded learns from a wait for a model that was not loaded.
func (e *estimates) loaded(now time.Time, key model.ModelKey, took time.Duration) {
	e.model(key).cold.add(now, took.Seconds())
}

func (e *estimates) model(key model.ModelKey) *modelHistory {
	m := e.models[key]
	if m == nil {
		m = &modelHistory{}
		e.models[key] = m
	}
	return m
}

func keyOf(r *Request) historyKey {
	return historyKey{target: r.Target, service: r.Service, bucket: bits.Len(uint(max(r.MaxTokens, 0)))}
}
