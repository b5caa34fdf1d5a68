package routing

import (
	"math/bits"
	"time"

	"citronspread/model"
)

const (
	estimateWeight   = 0.1 // of a new sample
	maxHistories     = 8192
	expectedHeadroom = 1.5 // expected tokens as a multiple of the mean
)

// mean is an exponentially weighted mean.
type mean struct {
	value float64
	known bool
}

func (m *mean) add(sample float64) {
	if !m.known {
		m.value, m.known = sample, true
		return
	}
	m.value += estimateWeight * (sample - m.value)
}

func (m *mean) duration() time.Duration { return time.Duration(m.value * float64(time.Second)) }

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
func (e *estimates) expectedService(r *Request) time.Duration {
	h := e.kinds[keyOf(r)]
	if h == nil {
		return 0
	}
	return h.service.duration()
}

// served learns from a whole answer.
func (e *estimates) served(r *Request, class Class, tokens int, took time.Duration) {
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
	h.tokens.add(float64(tokens))
	h.service.add(took.Seconds())
	e.model(r.Target.Key).service[class].add(took.Seconds())
}

// loaded learns from a wait for a model that was not loaded.
func (e *estimates) loaded(key model.ModelKey, took time.Duration) {
	e.model(key).cold.add(took.Seconds())
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
