// Package metrics defines the metrics of an entry instance.
package metrics

import (
	"io"
	"time"

	"github.com/uber-go/tally/v4"

	"marigoldfront.dev/core/intake"
	"marigoldfront.dev/infra/registry"
)

// reportInterval is the interval at which values are reported to the registry.
// The values at /metrics are at most this old.
const reportInterval = 500 * time.Millisecond

// help holds the help text of each metric.
var help = map[string]string{
	"marigold_requests_total":               "Caller requests by operation.",
	"marigold_rejections_total":             "Rejected caller requests by HTTP status.",
	"marigold_answers_total":                "Answers by state.",
	"marigold_request_seconds":              "Time from a submission to its answer, in seconds.",
	"marigold_attempts_total":               "Ended attempts by outcome.",
	"marigold_mismatched_replies_total":     "Target replies that name another job, task or attempt.",
	"marigold_stops_total":                  "Stop messages sent to targets.",
	"marigold_forwards_total":               "Requests forwarded to another home, by result.",
	"marigold_exchanges_total":              "Exchange messages sent to peers, by result.",
	"marigold_store_calls_total":            "Calls to the store, by result.",
	"marigold_refused_requests_total":       "Requests that were refused, by the limit that they met.",
	"marigold_closed_connections_total":     "Connections that gave way to others or were closed, by the limit that they met.",
	"marigold_request_bytes":                "Memory that connections and requests count for, in bytes.",
	"marigold_connections":                  "Open connections of callers and peers.",
	"marigold_unfinished_requests":          "Connections on which a request has not arrived completely.",
	"marigold_ticket_number":                "Number of the ticket in force.",
	"marigold_confirmation_age_seconds":     "Time since the store last confirmed the newest ticket, in seconds.",
	"marigold_queued_tasks":                 "Tasks that wait for a slot.",
	"marigold_running_tasks":                "Tasks on targets.",
	"marigold_sessions":                     "Open sessions.",
	"marigold_dispatch_events_total":        "Decisions and messages by kind; retries, refused starts, hedges, stops and late or duplicate replies may be waste.",
	"marigold_handed_over_sessions_total":   "Sessions handed over to the successor.",
	"marigold_instance_list_failures_total": "Failed polls of the instance list.",
}

// Metrics holds the metrics of one entry instance. It is safe for concurrent use.
type Metrics struct {
	Registry *registry.Registry
	scope    tally.Scope
	closer   io.Closer

	RequestSeconds                 tally.Histogram
	MismatchedReplies              tally.Counter
	StopsSent                      tally.Counter
	HandedOverSessions             tally.Counter
	InstanceListFailures           tally.Counter
	TicketNumber                   tally.Gauge
	ConfirmationAge                tally.Gauge
	QueuedTasks                    tally.Gauge
	RunningTasks                   tally.Gauge
	OpenSessions                   tally.Gauge
	StoreCallsOK, StoreCallsFailed tally.Counter

	AttemptsSucceeded, AttemptsFailed, AttemptsRefused, AttemptsNotSent, AttemptsAmbiguous tally.Counter
}

// New returns the metrics of an instance. Close must be called to stop the
// periodic reporting.
func New() *Metrics {
	r := registry.New(help)
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "marigold", Separator: "_", CachedReporter: r, OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Metrics{Registry: r, scope: scope, closer: closer}
	m.RequestSeconds = scope.Histogram("request_seconds", tally.DurationBuckets{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
		20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
		500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, time.Minute,
	})
	m.MismatchedReplies = scope.Counter("mismatched_replies_total")
	m.StopsSent = scope.Counter("stops_total")
	m.HandedOverSessions = scope.Counter("handed_over_sessions_total")
	m.InstanceListFailures = scope.Counter("instance_list_failures_total")
	m.TicketNumber = scope.Gauge("ticket_number")
	m.ConfirmationAge = scope.Gauge("confirmation_age_seconds")
	m.QueuedTasks = scope.Gauge("queued_tasks")
	m.RunningTasks = scope.Gauge("running_tasks")
	m.OpenSessions = scope.Gauge("sessions")
	m.StoreCallsOK = m.taggedCounter("store_calls_total", "result", "ok")
	m.StoreCallsFailed = m.taggedCounter("store_calls_total", "result", "error")
	m.AttemptsSucceeded = m.taggedCounter("attempts_total", "outcome", "done")
	m.AttemptsFailed = m.taggedCounter("attempts_total", "outcome", "failed")
	m.AttemptsRefused = m.taggedCounter("attempts_total", "outcome", "refused")
	m.AttemptsNotSent = m.taggedCounter("attempts_total", "outcome", "not_sent")
	m.AttemptsAmbiguous = m.taggedCounter("attempts_total", "outcome", "lost")
	return m
}

// taggedCounter returns the counter of a metric with one label.
func (m *Metrics) taggedCounter(name, key, value string) tally.Counter {
	return m.scope.Tagged(map[string]string{key: value}).Counter(name)
}

// CountRequest counts a caller request by operation.
func (m *Metrics) CountRequest(operation string) {
	m.taggedCounter("requests_total", "operation", operation).Inc(1)
}

// CountRejection counts a rejected caller request by HTTP status.
func (m *Metrics) CountRejection(status string) {
	m.taggedCounter("rejections_total", "status", status).Inc(1)
}

// CountAnswer counts an answer by state.
func (m *Metrics) CountAnswer(state string) { m.taggedCounter("answers_total", "state", state).Inc(1) }

// CountForward counts a request forwarded to another home instance by result.
func (m *Metrics) CountForward(result string) {
	m.taggedCounter("forwards_total", "result", result).Inc(1)
}

// CountDispatchEvents adds n to the count of a kind of Dispatcher event.
func (m *Metrics) CountDispatchEvents(event string, n uint64) {
	m.taggedCounter("dispatch_events_total", "event", event).Inc(int64(n))
}

// CountExchange counts an exchange message sent to a peer by result.
func (m *Metrics) CountExchange(result string) {
	m.taggedCounter("exchanges_total", "result", result).Inc(1)
}

// CountRefusedRequest counts a request that was refused because of a limit.
func (m *Metrics) CountRefusedRequest(l intake.Limit) {
	m.taggedCounter("refused_requests_total", "limit", string(l)).Inc(1)
}

// CountClosedConnection counts a connection that was closed because of a limit.
func (m *Metrics) CountClosedConnection(l intake.Limit) {
	m.taggedCounter("closed_connections_total", "limit", string(l)).Inc(1)
}

// SetRequests sets the gauges of what clients hold.
func (m *Metrics) SetRequests(st intake.Stats) {
	for name, v := range map[string]float64{
		"request_bytes": float64(st.Bytes), "connections": float64(st.Connections), "unfinished_requests": float64(st.Unfinished),
	} {
		m.scope.Gauge(name).Update(v)
	}
}

// Close reports the latest values and stops the periodic reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
