package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"boragehub/failure"
	"boragehub/message"
)

// metrics are an entry's metrics. The number of label values must stay bounded: services
// come from the settings and kinds are a closed list. Workloads are expected to be those
// of the settings, but the callers' header that names them is not checked. Organisations
// are not a label because there are ten thousand of them.
type metrics struct {
	firstTokens *prometheus.HistogramVec
	prompts     *prometheus.CounterVec
	cached      *prometheus.CounterVec
	imported    *prometheus.CounterVec
	responses   *prometheus.CounterVec
	failures    *prometheus.CounterVec
	retries     prometheus.Counter
}

const namespace = "boragehub"

func newMetrics() *metrics {
	labels := []string{"service", "workload"}

	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}

	return &metrics{
		firstTokens: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "first_token_seconds",
			Help:      "Time from a prompt's arrival to its first token.",
			Buckets:   []float64{.01, .025, .05, .1, .2, .35, .5, .7, .92, 1.3, 2, 4, 8, 16, 32, 64},
		}, labels),
		prompts:   counter("prompt_tokens_total", "Tokens of the prompts answered.", labels...),
		cached:    counter("cached_tokens_total", "Prompt tokens that were not computed.", labels...),
		imported:  counter("imported_tokens_total", "Prompt tokens that were imported from a store for their run.", labels...),
		responses: counter("answers_total", "Complete responses given.", labels...),
		failures:  counter("failures_total", "Requests answered with an error, by kind.", "kind"),
		retries:   prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "retries_total", Help: "Attempts beyond the first."}),
	}
}

// Collectors returns the entry's metrics for registration.
func (e *Entry) Collectors() []prometheus.Collector {
	m := e.metrics
	gauge := func(name, help string, get func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, get)
	}

	return []prometheus.Collector{
		m.firstTokens, m.prompts, m.cached, m.imported, m.responses, m.failures, m.retries,
		gauge("requests_in_work", "Requests in flight.", func() float64 { return float64(e.active.Load()) }),
		gauge("places_used", "Places of the gate that are taken.", e.gates.used),
		gauge("targets_known", "Targets held in the table.", func() float64 { return float64(e.targets.Len()) }),
		gauge("contexts_owned", "Contexts that this entry keeps for the directory.", func() float64 { return float64(e.owned.contexts()) }),
		gauge("settings_version", "Version of the settings in force.", func() float64 { return float64(e.version()) }),
		gauge("learnings_refused_total", "Reports of holdings dropped because the queue was full.", func() float64 { return float64(e.updates.Refused()) }),
	}
}

func (o *ownedContexts) contexts() int {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.table.Contexts()
}

// version returns the version of the settings in force; zero before the first.
func (e *Entry) version() uint64 {
	if p := e.policy.Load(); p != nil {
		return p.version
	}

	return 0
}

func (m *metrics) firstToken(j *job, d time.Duration) {
	m.firstTokens.WithLabelValues(j.service, j.workload).Observe(d.Seconds())
}

func (m *metrics) completed(j *job, d message.Done) {
	m.prompts.WithLabelValues(j.service, j.workload).Add(float64(d.PromptTokens))
	m.cached.WithLabelValues(j.service, j.workload).Add(float64(d.CachedTokens))
	m.imported.WithLabelValues(j.service, j.workload).Add(float64(d.ImportedTokens))
	m.responses.WithLabelValues(j.service, j.workload).Inc()
}

func (m *metrics) failed(k failure.Kind) {
	m.failures.WithLabelValues(k.String()).Inc()
}
