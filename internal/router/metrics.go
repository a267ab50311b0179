package router

import (
	"github.com/prometheus/client_golang/prometheus"
)

var resultNames = []string{"ok", NotRun, OutcomeUnknown, FailedByTarget, AlreadyRun, BadRequest}

type metrics struct {
	results     *prometheus.CounterVec
	latency     *prometheus.HistogramVec
	queued      *prometheus.HistogramVec
	attempts    *prometheus.CounterVec
	events      *prometheus.CounterVec
	violations  *prometheus.CounterVec
	badRequests prometheus.Counter
}

// serviceMetrics holds the metrics of one service, which are looked up once
// instead of for each request.
type serviceMetrics struct {
	results                                  map[string]prometheus.Counter
	latency, queued                          prometheus.Observer
	attempts                                 [outcomeCount]prometheus.Counter
	retries, hedges, hedgeWins, budgetDenied prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	buckets := prometheus.ExponentialBuckets(0.00025, 2, 18)
	m := &metrics{
		results:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tarragond_requests_total", Help: "Requests by result; ok is a response of the target."}, []string{"service", "result"}),
		latency:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "tarragond_request_seconds", Help: "Time from the request to its response.", Buckets: buckets}, []string{"service"}),
		queued:     prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "tarragond_queue_seconds", Help: "Time in the queue of the requests that waited.", Buckets: buckets}, []string{"service"}),
		attempts:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tarragond_attempts_total", Help: "Attempts by outcome."}, []string{"service", "outcome"}),
		events:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tarragond_router_events_total", Help: "Retries, hedges, hedges that won, attempts denied by the budget."}, []string{"service", "event"}),
		violations: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tarragond_router_violations_total", Help: "Violated invariants of the request path."}, []string{"invariant"}),
	}
	registry.MustRegister(m.results, m.latency, m.queued, m.attempts, m.events, m.violations)
	m.badRequests = m.results.WithLabelValues("", BadRequest)
	return m
}

func (m *metrics) forService(name string) serviceMetrics {
	s := serviceMetrics{
		results: map[string]prometheus.Counter{}, latency: m.latency.WithLabelValues(name), queued: m.queued.WithLabelValues(name),
		retries: m.events.WithLabelValues(name, "retry"), hedges: m.events.WithLabelValues(name, "hedge"),
		hedgeWins: m.events.WithLabelValues(name, "hedge_won"), budgetDenied: m.events.WithLabelValues(name, "budget_denied"),
	}
	for _, r := range resultNames {
		s.results[r] = m.results.WithLabelValues(name, r)
	}
	for outcome, outcomeName := range outcomeNames {
		s.attempts[outcome] = m.attempts.WithLabelValues(name, outcomeName)
	}
	return s
}

// reportViolation counts and logs the violation of an invariant, and panics if
// Options.PanicOnViolation is set.
func (r *Router) reportViolation(invariant, detail string) {
	r.metrics.violations.WithLabelValues(invariant).Inc()
	r.options.Log.Error().Str("invariant", invariant).Msg("router: invariant violated: " + detail)
	if r.options.PanicOnViolation {
		panic("router: " + invariant + ": " + detail)
	}
}
