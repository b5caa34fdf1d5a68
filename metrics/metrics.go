// Package metrics counts what an entry host does, for the metrics address.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// secondsBuckets reach from an answer of a plain service to the longest wait for a stream's first event.
var secondsBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30}

// Metrics are the counters and histograms of one process.
type Metrics struct {
	registry   *prometheus.Registry
	sends      *prometheus.CounterVec
	unserved   *prometheus.CounterVec
	orders     *prometheus.CounterVec
	requests   *prometheus.HistogramVec
	firstEvent prometheus.Histogram
	gap        prometheus.Histogram
	waited     prometheus.Histogram
}

// New returns metrics that count from zero.
func New() *Metrics {
	m := &Metrics{
		registry:   prometheus.NewRegistry(),
		sends:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citronspread_sends_total", Help: "Sends to backend servers by result."}, []string{"result"}),
		unserved:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citronspread_unserved_total", Help: "Requests that ended without an answer of a backend server, by status."}, []string{"status"}),
		orders:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citronspread_orders_total", Help: "Orders to backend servers by kind and answer."}, []string{"kind", "answer"}),
		requests:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "citronspread_request_seconds", Help: "Time from a request's arrival to the end of its answer, by kind of route.", Buckets: secondsBuckets}, []string{"kind"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "citronspread_first_event_seconds", Help: "Time from a stream's request to its first event.", Buckets: secondsBuckets}),
		gap:        prometheus.NewHistogram(prometheus.HistogramOpts{Name: "citronspread_longest_gap_seconds", Help: "Longest pause between two events of a stream.", Buckets: secondsBuckets}),
		waited:     prometheus.NewHistogram(prometheus.HistogramOpts{Name: "citronspread_place_wait_seconds", Help: "Wait for a place on a backend server.", Buckets: secondsBuckets}),
	}
	m.registry.MustRegister(m.sends, m.unserved, m.orders, m.requests, m.firstEvent, m.gap, m.waited)
	return m
}

// Gauge adds a figure that is read when the metrics are fetched.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Sent counts a send.
func (m *Metrics) Sent(result string) { m.sends.WithLabelValues(result).Inc() }

// Unserved counts a request that ended with an answer of our own.
func (m *Metrics) Unserved(status string) { m.unserved.WithLabelValues(status).Inc() }

// Ordered counts an order.
func (m *Metrics) Ordered(kind, answer string) { m.orders.WithLabelValues(kind, answer).Inc() }

// Ended observes how long a request took.
func (m *Metrics) Ended(kind string, took time.Duration) {
	m.requests.WithLabelValues(kind).Observe(took.Seconds())
}

// Streamed observes the first event and the longest pause of a stream.
func (m *Metrics) Streamed(firstAfter, longestGap time.Duration) {
	m.firstEvent.Observe(firstAfter.Seconds())
	m.gap.Observe(longestGap.Seconds())
}

// Waited observes the wait for a place.
func (m *Metrics) Waited(d time.Duration) { m.waited.Observe(d.Seconds()) }
