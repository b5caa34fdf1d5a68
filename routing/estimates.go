package routing

import (
	"math/bits"
	"time"

	"citronspread/model"
)

const (
	sampleWeight  = 0.1              // weight of a new sample in a mean
	maxSampleAge  = 30 * time.Second // age up to which a mean may be used to refuse requests
	maxHistories  = 8192             // histories before all are dropped
	tokenHeadroom = 1.5              // expected tokens as a multiple of the mean
)

// mean is an exponentially weighted mean.
type mean struct {
	value float64
	known bool
	at    time.Time // time of the last sample
}

func (m *mean) add(now time.Time, sample float64) {
	m.at = now
	if !m.known {
		m.value, m.known = sample, true
		return
	}
	m.value += sampleWeight * (sample - m.value)
}

// duration returns the mean of samples in seconds as a duration. It returns 0 if the last sample is older than
// both maxSampleAge and three times the mean: requests are not refused on the basis of old samples.
func (m *mean) duration(now time.Time) time.Duration {
	d := time.Duration(m.value * float64(time.Second))
	if now.Sub(m.at) > max(maxSampleAge, 3*d) {
		return 0
	}
	return d
}

// historyKey groups requests that are expected to have responses of similar length.
type historyKey struct {
	target  Target
	service string
	bucket  int // bit length of max_tokens
}

// history holds the means of the requests with one historyKey.
type history struct {
	tokens      mean // length of the response
	serviceTime mean // seconds
}

// modelHistory holds the means of one model.
type modelHistory struct {
	serviceTime [classes]mean // seconds
	coldStart   mean          // seconds
}

// estimates predicts response lengths, service times and cold starts from earlier requests.
type estimates struct {
	histories map[historyKey]*history
	models    map[model.ModelKey]*modelHistory
}

func newEstimates() estimates {
	return estimates{histories: make(map[historyKey]*history), models: make(map[model.ModelKey]*modelHistory)}
}

// expectedTokens returns the expected length of the response, 0 if there is neither a limit nor a sample.
func (e *estimates) expectedTokens(r *Request) int {
	if r.Remaining > 0 {
		return r.Remaining
	}
	expected := r.MaxTokens
	h := e.histories[historyKeyOf(r)]
	if h == nil || !h.tokens.known {
		return expected
	}
	estimated := int(h.tokens.value * tokenHeadroom)
	if expected == 0 {
		return estimated
	}
	return min(expected, estimated)
}

// usualTokens returns the mean length of earlier responses to such requests, 0 if there was none. A workspace is charged for
// it in advance. A length that callers merely allow does not count: those that allow much would otherwise hold the others'
// counters up until the difference is given back.
func (e *estimates) usualTokens(r *Request) int {
	if r.Remaining > 0 {
		return r.Remaining
	}
	h := e.histories[historyKeyOf(r)]
	if h == nil || !h.tokens.known {
		return 0
	}
	usual := int(h.tokens.value + 0.5)
	if r.MaxTokens == 0 {
		return usual
	}
	return min(usual, r.MaxTokens)
}

// expectedServiceTime returns the expected service time of the request, 0 if there is no recent sample.
func (e *estimates) expectedServiceTime(now time.Time, r *Request) time.Duration {
	h := e.histories[historyKeyOf(r)]
	if h == nil {
		return 0
	}
	return h.serviceTime.duration(now)
}

// recordResponse records the length and the service time of a complete response. Resumptions are left out, because they
// produce only a part of a response.
func (e *estimates) recordResponse(now time.Time, r *Request, class Class, tokens int, took time.Duration) {
	if r.Remaining > 0 {
		return
	}
	key := historyKeyOf(r)
	h := e.histories[key]
	if h == nil {
		if len(e.histories) >= maxHistories {
			clear(e.histories)
		}
		h = &history{}
		e.histories[key] = h
	}
	h.tokens.add(now, float64(tokens))
	h.serviceTime.add(now, took.Seconds())
	e.model(r.Target.Key).serviceTime[class].add(now, took.Seconds())
}

// recordColdStart records how long requests waited for a model to be loaded.
func (e *estimates) recordColdStart(now time.Time, key model.ModelKey, took time.Duration) {
	e.model(key).coldStart.add(now, took.Seconds())
}

func (e *estimates) model(key model.ModelKey) *modelHistory {
	m := e.models[key]
	if m == nil {
		m = &modelHistory{}
		e.models[key] = m
	}
	return m
}

func historyKeyOf(r *Request) historyKey {
	return historyKey{target: Target{Key: r.Target.Key, Adapter: r.Target.Adapter}, service: r.Service, bucket: bits.Len(uint(max(r.MaxTokens, 0)))}
}
