// Package metrics exports a gateway's metrics to Prometheus.
//
// Label values are bounded: kinds of routes, kinds of failures, outcomes. Names of
// routes, organisations and targets are only in the logs.
package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics implements gateway.Meter. Use New.
type Metrics struct {
	served     *prometheus.CounterVec
	refused    *prometheus.CounterVec
	failed     *prometheus.CounterVec
	claims     *prometheus.CounterVec
	attempts   prometheus.Counter
	first      *prometheus.HistogramVec
	total      *prometheus.HistogramVec
	unreadable prometheus.Counter
	waiting    *prometheus.GaugeVec
	admission  prometheus.Histogram
	unadmitted *prometheus.CounterVec
}

// Gauges are functions that return present values; they are called on each scrape.
type Gauges struct {
	// Active returns the number of requests being served.
	Active func() float64
	// Targets returns the number of known targets.
	Targets func() float64
	// LimitedTargets returns the number of targets that name a rate limit.
	LimitedTargets func() float64
	// Slowdowns returns the least, the median and the largest factor by which work currently takes
	// longer on the targets of contended services.
	Slowdowns func() (least, median, largest float64)
	// ConfigVersion returns the version of the configuration in force, zero for none.
	ConfigVersion func() float64
	// LogAge returns how old, in seconds, the known state of the log may be.
	LogAge func() float64
	// Dials returns the number of connections opened to targets.
	Dials func() float64
	// OtherResponses returns the number of control calls that got a response to another call.
	OtherResponses func() float64
	// UnsolicitedBytes returns the number of connections for control calls that were closed because bytes
	// arrived on them between calls.
	UnsolicitedBytes func() float64
	// VaultTokens and VaultCapacity return the tokens held in stores and the stores' capacity.
	VaultTokens, VaultCapacity func() float64
	// LinesLeftOut returns the number of log lines left out.
	LinesLeftOut func() float64
	// TokensPerMs returns the engines' prefill speed, zero while unknown.
	TokensPerMs func() float64
	// Backlog returns the tokens that engines have yet to prefill for leased prompts.
	Backlog func() float64
	// ClientBytes and ClientConnections return the memory and the connections that clients take, ClientsYielded
	// how many requests and connections were refused or closed for others.
	ClientBytes, ClientConnections, ClientsYielded func() float64
}

// buckets are upper bounds in seconds, around the latency targets of 0.15, 0.4 and 0.8 s.
var buckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.2, 2, 4, 8}

// New registers the metrics with r and returns them.
func New(r prometheus.Registerer, g Gauges) *Metrics {
	m := &Metrics{
		served:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehub_requests_served_total", Help: "Requests that got their whole answer."}, []string{"kind"}),
		refused:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehub_requests_given_up_total", Help: "Requests that got an error of ours, by reason."}, []string{"kind", "reason"}),
		failed:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehub_attempts_failed_total", Help: "Attempts without a whole answer, by outcome."}, []string{"outcome"}),
		claims:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehub_claims_total", Help: "Claims of engines' capacity for long prompts, by outcome."}, []string{"outcome"}),
		attempts:   prometheus.NewCounter(prometheus.CounterOpts{Name: "boragehub_repeats_total", Help: "Attempts beyond the first of a request that was served."}),
		first:      prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "boragehub_first_event_seconds", Help: "Time to the first byte of an answer.", Buckets: buckets}, []string{"kind"}),
		total:      prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "boragehub_request_seconds", Help: "Time to the end of an answer.", Buckets: buckets}, []string{"kind"}),
		unreadable: prometheus.NewCounter(prometheus.CounterOpts{Name: "boragehub_records_unreadable_total", Help: "Records of the log that could not be understood."}),
		waiting:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "boragehub_admission_waiting", Help: "Prompts that wait in admission queues, by rank."}, []string{"rank"}),
		admission:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "boragehub_admission_wait_seconds", Help: "How long prompts that were then sent waited in admission queues.", Buckets: buckets}),
		unadmitted: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehub_admission_refused_total", Help: "Prompts that admission queues refused, by reason."}, []string{"reason"}),
	}

	r.MustRegister(m.served, m.refused, m.failed, m.claims, m.attempts, m.first, m.total, m.unreadable, m.waiting, m.admission, m.unadmitted)

	for _, x := range []struct {
		name, help string
		value      func() float64
	}{
		{"boragehub_requests_active", "Requests being served.", g.Active},
		{"boragehub_targets", "Targets that the register names.", g.Targets},
		{"boragehub_limited_targets", "Targets that name a rate limit.", g.LimitedTargets},
		{"boragehub_target_slowdown_min", "Least factor by which work takes longer than usual on a target; 1 while no service is contended.", func() float64 { v, _, _ := g.Slowdowns(); return v }},
		{"boragehub_target_slowdown_median", "Median of these factors.", func() float64 { _, v, _ := g.Slowdowns(); return v }},
		{"boragehub_target_slowdown_max", "Largest of these factors.", func() float64 { _, _, v := g.Slowdowns(); return v }},
		{"boragehub_config_version", "Version of the configuration in force.", g.ConfigVersion},
		{"boragehub_log_age_seconds", "How old what is known of the log may be.", g.LogAge},
		{"boragehub_target_connections_opened", "Connections opened to targets since the start.", g.Dials},
		{"boragehub_control_other_responses", "Control calls that failed since the start because they got a response to another call.", g.OtherResponses},
		{"boragehub_control_unsolicited", "Connections for control calls closed since the start because bytes arrived between calls.", g.UnsolicitedBytes},
		{"boragehub_vault_tokens", "Tokens kept in stores that answer.", g.VaultTokens},
		{"boragehub_vault_room_tokens", "Room of stores that answer.", g.VaultCapacity},
		{"boragehub_log_lines_left_out", "Log lines left out since the start.", g.LinesLeftOut},
		{"boragehub_engine_tokens_per_ms", "How fast engines read prompts as learned from answers, zero while not known.", g.TokensPerMs},
		{"boragehub_client_bytes", "Memory that clients' connections, requests and held responses take.", g.ClientBytes},
		{"boragehub_client_connections", "Open connections of clients at all ports.", g.ClientConnections},
		{"boragehub_clients_yielded", "Requests and connections of clients that were refused or closed as others needed their memory or place.", g.ClientsYielded},
		{"boragehub_engine_backlog_tokens", "Tokens that engines have yet to prefill for long prompts with a lease.", g.Backlog},
	} {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: x.name, Help: x.help}, x.value))
	}

	return m
}

// Served counts a request that got its complete response.
func (m *Metrics) Served(kind string, first, total time.Duration, attempts int) {
	m.served.WithLabelValues(kind).Inc()
	m.first.WithLabelValues(kind).Observe(first.Seconds())
	m.total.WithLabelValues(kind).Observe(total.Seconds())
	m.attempts.Add(float64(max(attempts-1, 0)))
}

// Refused counts a request that got an error response from the gateway itself.
func (m *Metrics) Refused(kind, reason string) { m.refused.WithLabelValues(kind, reason).Inc() }

// Failed counts an attempt without a complete response.
func (m *Metrics) Failed(outcome string) { m.failed.WithLabelValues(outcome).Inc() }

// Claimed counts a claim of an engine's capacity.
func (m *Metrics) Claimed(outcome string) { m.claims.WithLabelValues(outcome).Inc() }

// lastRank bounds the label values of ranks; worse ones are counted with it.
const lastRank = 9

// Waiting adds a change to the number of prompts of a rank that wait in an admission queue.
func (m *Metrics) Waiting(rank, change int) {
	m.waiting.WithLabelValues(strconv.Itoa(min(max(rank, 0), lastRank))).Add(float64(change))
}

// Admitted counts a prompt that left an admission queue after some time to be sent.
func (m *Metrics) Admitted(waited time.Duration) { m.admission.Observe(waited.Seconds()) }

// NotAdmitted counts a prompt that an admission queue refused.
func (m *Metrics) NotAdmitted(reason string) { m.unadmitted.WithLabelValues(reason).Inc() }

// RecordUnreadable counts a log record that could not be decoded.
func (m *Metrics) RecordUnreadable() { m.unreadable.Inc() }
