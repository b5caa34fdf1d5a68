// Package metrics holds the Prometheus metrics of an entry host.
package metrics

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"
)

// durationBuckets are upper bounds in seconds. They range from the response time of a plain service to the longest wait
// for the first event of a stream.
var durationBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30}

// Metrics holds the counters and histograms of one process.
type Metrics struct {
	registry   *prometheus.Registry
	sends      *prometheus.CounterVec
	unserved   *prometheus.CounterVec
	orders     *prometheus.CounterVec
	requests   *prometheus.HistogramVec
	firstEvent prometheus.Histogram
	longestGap prometheus.Histogram
	grantWait  prometheus.Histogram
	turnWait   prometheus.Histogram
	storeCalls *prometheus.CounterVec
	allowances prometheus.Counter
	places     *prometheus.CounterVec
	badLoads   prometheus.Counter
	capCalls   *prometheus.CounterVec

	unauthorized prometheus.Counter
}

// New returns metrics with all counters at zero.
func New() *Metrics {
	m := &Metrics{
		registry:   prometheus.NewRegistry(),
		sends:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citronspread_sends_total", Help: "Sends to backend servers by result."}, []string{"result"}),
		unserved:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citronspread_unserved_total", Help: "Requests that ended without an answer of a backend server, by status."}, []string{"status"}),
		orders:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citronspread_orders_total", Help: "Orders to backend servers by kind and answer."}, []string{"kind", "answer"}),
		requests:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "citronspread_request_seconds", Help: "Time from a request's arrival to the end of its answer, by kind of route.", Buckets: durationBuckets}, []string{"kind"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "citronspread_first_event_seconds", Help: "Time from a stream's request to its first event.", Buckets: durationBuckets}),
		longestGap: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "citronspread_longest_gap_seconds", Help: "Longest pause between two events of a stream.", Buckets: durationBuckets}),
		turnWait:   prometheus.NewHistogram(prometheus.HistogramOpts{Name: "citronspread_prompt_turn_wait_seconds", Help: "Wait for the turn of a prompt at its backend server.", Buckets: durationBuckets}),
		grantWait:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "citronspread_place_wait_seconds", Help: "Wait for a place on a backend server.", Buckets: durationBuckets}),
	}
	m.storeCalls = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citronspread_store_calls_total", Help: "Calls to the platform's store by kind and by what caused them. A read of several pages counts once."}, []string{"kind", "cause"})
	m.allowances = prometheus.NewCounter(prometheus.CounterOpts{Name: "citronspread_allowance_calls_total", Help: "Calls to other entry hosts for allowances of backend servers that have stated a limit."})
	m.unauthorized = prometheus.NewCounter(prometheus.CounterOpts{Name: "citronspread_unauthorized_total", Help: "Requests refused with 401 for want of a workspace's key."})
	m.places = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citronspread_places_total", Help: "Places on backend servers that were asked for at their owners, by answer."}, []string{"answer"})
	m.badLoads = prometheus.NewCounter(prometheus.CounterOpts{Name: "citronspread_invalid_loads_total", Help: "Responses of backend servers with a load that could not be read."})
	m.capCalls = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citronspread_cap_calls_total", Help: "Calls to other entry hosts about the usage caps of workspaces, by kind."}, []string{"kind"})
	m.registry.MustRegister(m.capCalls, m.unauthorized, m.places, m.badLoads, m.allowances, m.sends, m.unserved, m.orders, m.requests, m.firstEvent, m.longestGap, m.grantWait, m.turnWait, m.storeCalls)
	return m
}

// AddGauge registers a gauge whose value is read whenever the metrics are scraped.
func (m *Metrics) AddGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// labelledGauge is a gauge with one label, whose values are read whenever the metrics are scraped. It implements
// prometheus.Collector.
type labelledGauge struct {
	description *prometheus.Desc
	read        func() map[string]float64
}

// Describe implements prometheus.Collector.
func (g *labelledGauge) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- g.description
}

// Collect implements prometheus.Collector.
func (g *labelledGauge) Collect(values chan<- prometheus.Metric) {
	for label, value := range g.read() {
		metric, err := prometheus.NewConstMetric(g.description, prometheus.GaugeValue, value, label)
		if err != nil {
			continue // the label is no valid UTF-8
		}
		values <- metric
	}
}

// AddLabelledGauge registers a gauge with one label, whose values are read by label value whenever the metrics are scraped.
func (m *Metrics) AddLabelledGauge(name, help, label string, read func() map[string]float64) {
	m.registry.MustRegister(&labelledGauge{description: prometheus.NewDesc(name, help, []string{label}, nil), read: read})
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountSend counts a request sent to a backend server, by result.
func (m *Metrics) CountSend(result string) { m.sends.WithLabelValues(result).Inc() }

// CountUnserved counts a request that ended without a complete response of a backend server, by status.
func (m *Metrics) CountUnserved(status string) { m.unserved.WithLabelValues(status).Inc() }

// CountOrder counts an order to a backend server, by kind and answer.
func (m *Metrics) CountOrder(kind, answer string) { m.orders.WithLabelValues(kind, answer).Inc() }

// CountStoreCall counts a call to the platform's store, by kind and by what caused it.
func (m *Metrics) CountStoreCall(kind, cause string) {
	m.storeCalls.WithLabelValues(kind, cause).Inc()
}

// CountAllowanceCall counts a call to another entry host for an allowance.
func (m *Metrics) CountAllowanceCall() { m.allowances.Inc() }

// CountUnauthorized counts a request that was refused for want of a workspace's key.
func (m *Metrics) CountUnauthorized() { m.unauthorized.Inc() }

// CountPlace counts a place on a backend server that was asked for at its owner, by answer.
func (m *Metrics) CountPlace(answer string) { m.places.WithLabelValues(answer).Inc() }

// CountInvalidLoad counts a response with a load that could not be read.
func (m *Metrics) CountInvalidLoad() { m.badLoads.Inc() }

// CountCapCall counts a call to another entry host about the usage cap of a workspace, by kind.
func (m *Metrics) CountCapCall(kind string) { m.capCalls.WithLabelValues(kind).Inc() }

// StoreCalls returns the numbers of calls to the platform's store as "cause/kind=number", sorted.
func (m *Metrics) StoreCalls() []string {
	var counts []string
	collected := make(chan prometheus.Metric)
	go func() {
		defer close(collected)
		m.storeCalls.Collect(collected)
	}()
	for c := range collected {
		var value dto.Metric
		if err := c.Write(&value); err != nil {
			continue // a counter always encodes
		}
		var labels []string
		for _, pair := range value.GetLabel() {
			labels = append(labels, pair.GetValue()) // sorted by label: cause, kind
		}
		counts = append(counts, fmt.Sprintf("%s=%.0f", strings.Join(labels, "/"), value.GetCounter().GetValue()))
	}
	slices.Sort(counts)
	return counts
}

// ObserveRequest observes the time from the arrival of a request to the end of its response, by kind of route.
func (m *Metrics) ObserveRequest(kind string, took time.Duration) {
	m.requests.WithLabelValues(kind).Observe(took.Seconds())
}

// ObserveStream observes the time to the first event of a stream and the longest gap between two of its events.
func (m *Metrics) ObserveStream(firstAfter, longestGap time.Duration) {
	m.firstEvent.Observe(firstAfter.Seconds())
	m.longestGap.Observe(longestGap.Seconds())
}

// ObserveTurnWait observes how long a prompt waits for its turn at a backend server.
func (m *Metrics) ObserveTurnWait(d time.Duration) { m.turnWait.Observe(d.Seconds()) }

// ObserveGrantWait observes the time that a request waited for a grant, the right to send it to a backend server.
func (m *Metrics) ObserveGrantWait(d time.Duration) { m.grantWait.Observe(d.Seconds()) }
