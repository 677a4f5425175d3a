// Package metrics holds the metrics of an instance for leased targets.
package metrics

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"marigoldfront.dev/core/intake"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/infra/registry"
	"marigoldfront.dev/pool/port"
)

// reportInterval is the interval at which the values are copied to the registry.
// A scrape returns values that are at most this old.
const reportInterval = time.Second

// help holds the help text of each metric.
var help = map[string]string{
	"marigold_pool_answers_total":                "Answers to callers by state and reason.",
	"marigold_pool_answer_seconds":               "Time from a submission to its answer, in seconds, by state.",
	"marigold_pool_asked_owners_total":           "Owners that were asked to run a job, by where they are and whether they took it.",
	"marigold_pool_starts_total":                 "Starts sent to targets, by result.",
	"marigold_pool_crashes_total":                "Crashes of targets with running tasks, by what is known of them.",
	"marigold_pool_crash_tasks_total":            "Tasks on targets that have crashed, by what is known of the crash.",
	"marigold_pool_stops_total":                  "Stops sent to targets, by result.",
	"marigold_pool_cancels_total":                "Cancellations of jobs by callers, by where the job was.",
	"marigold_pool_cancel_seconds":               "Time from the cancellation of a job to its answer, in seconds, by result.",
	"marigold_pool_given_up_runs_total":          "Runs that were over after their job had ended, by how this became known.",
	"marigold_pool_given_up_run_seconds":         "Time from the end of a job until its last runs were known to be over, in seconds.",
	"marigold_pool_looks_total":                  "Looks at targets, by result.",
	"marigold_pool_store_calls_total":            "Calls to the store, by kind and result.",
	"marigold_pool_store_call_seconds":           "Time of a call to the store that does not wait for changes, in seconds.",
	"marigold_pool_owned_shards":                 "Shards of targets that this instance holds.",
	"marigold_pool_targets":                      "Targets that this instance owns.",
	"marigold_pool_usable_targets":               "Owned targets that take work.",
	"marigold_pool_free_cores":                   "Free processor cores of the usable targets.",
	"marigold_pool_queued_jobs":                  "Jobs with tasks that wait for a target.",
	"marigold_pool_running_tasks":                "Tasks on owned targets.",
	"marigold_pool_forecast_wait_seconds":        "Forecast time until a new task starts, in seconds.",
	"marigold_pool_evacuated_zones":              "Availability zones that the instance knows to be evacuated.",
	"marigold_pool_evacuated_cores":              "Processor cores of the serving targets in evacuated availability zones.",
	"marigold_pool_evacuated_running_tasks":      "Tasks on owned targets in evacuated availability zones.",
	"marigold_pool_configuration_version":        "Version of the configuration in force.",
	"marigold_pool_request_bytes":                "Memory of connections, requests and jobs, in bytes, as far as it is limited.",
	"marigold_pool_connections":                  "Open connections of clients.",
	"marigold_pool_unfinished_requests":          "Connections on which a request is awaited or has not arrived completely.",
	"marigold_pool_refused_requests_total":       "Requests refused before they were served, by limit.",
	"marigold_pool_closed_connections_total":     "Connections closed because of a limit, by limit.",
	"marigold_pool_idle_core_milliseconds_total": "Free processor time of the owned targets while a job waited for longer than 50 ms, by reason, in core-milliseconds.",
	"marigold_pool_turned_away_total":            "Jobs that this instance as an owner has turned away as overloaded, by priority and reason: gave_way to a job that costs callers more, or no_room, which includes the jobs of a queue whose tasks are suspected of crashing targets.",
	"marigold_pool_turned_away_cost":             "What jobs that were turned away cost callers, in seconds of the usual demand of their queues, by priority.",
	"marigold_pool_served_cost":                  "The same of the jobs that have completed.",
	"marigold_pool_queue_seconds":                "Time in the queue of an owner until the first start or the refusal, in seconds, by priority.",
}

// Metrics holds the metrics of one instance. Its methods may be called from
// several goroutines.
type Metrics struct {
	registry *registry.Registry
	scope    tally.Scope
	closer   io.Closer
	buckets  tally.DurationBuckets
	// servedCost and turnedAwayCost are the sums behind the gauges.
	servedCost, turnedAwayCost costs
}

// New returns the metrics of an instance. Close must be called to stop reporting.
func New() *Metrics {
	r := registry.New(help)
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "marigold_pool", Separator: "_", CachedReporter: r, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		registry: r, scope: scope, closer: closer,
		buckets: tally.DurationBuckets{
			time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
			20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
			500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 30 * time.Second,
		},
	}
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// An error here means that the client has disconnected.
		_, _ = m.registry.WriteTo(w)
	})
}

func (m *Metrics) count(name string, tags map[string]string) {
	m.scope.Tagged(tags).Counter(name).Inc(1)
}

// Answer counts an answer to a caller, and records the time since the submission.
func (m *Metrics) Answer(state, reason string, took time.Duration) {
	m.count("answers_total", map[string]string{"state": state, "reason": reason})
	m.scope.Tagged(map[string]string{"state": state}).Histogram("answer_seconds", m.buckets).RecordDuration(took)
}

// Served records a job that has completed, or was turned away as overloaded, at this
// instance as an owner.
func (m *Metrics) Served(a scheduler.Reply) {
	scope := m.scope.Tagged(map[string]string{"priority": strconv.Itoa(a.Summary.Priority)})
	switch o := a.Outcome.(type) {
	case scheduler.Completed:
		m.addCost(&m.servedCost, "served_cost", a.Summary)
	case scheduler.Refused:
		if o.Reason != scheduler.ReasonOverloaded {
			return
		}
		m.addCost(&m.turnedAwayCost, "turned_away_cost", a.Summary)
		// Jobs that containment refuses are included: they have the same reason.
		reason := "no_room"
		if a.Summary.Preferred != "" {
			reason = "gave_way"
		}
		m.count("turned_away_total", map[string]string{"priority": strconv.Itoa(a.Summary.Priority), "reason": reason})
	default:
		return
	}
	scope.Histogram("queue_seconds", m.buckets).RecordDuration(a.Summary.Waited)
}

// costs holds a cost by priority.
type costs struct {
	mu         sync.Mutex
	byPriority map[int]float64
}

// addCost adds the cost of a job to a gauge that only rises, because counters hold whole
// numbers.
func (m *Metrics) addCost(c *costs, name string, s scheduler.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byPriority == nil {
		c.byPriority = map[int]float64{}
	}
	c.byPriority[s.Priority] += s.Cost
	m.scope.Tagged(map[string]string{"priority": strconv.Itoa(s.Priority)}).Gauge(name).Update(c.byPriority[s.Priority])
}

// RunRequest counts a request to an owner to run a job, by whether the owner is
// this instance ("self") or another one ("other"), and by whether it accepted the
// job.
func (m *Metrics) RunRequest(where string, accepted bool) {
	result := "declined"
	if accepted {
		result = "took"
	}
	m.count("asked_owners_total", map[string]string{"where": where, "result": result})
}

// Start counts a request to start a run, by its result.
func (m *Metrics) Start(r scheduler.StartResult) {
	m.count("starts_total", map[string]string{"result": r.String()})
}

// Crash counts a crash of a target and the tasks that ran there.
func (m *Metrics) Crash(c scheduler.Crash) {
	tags := map[string]string{"state": c.State.String()}
	m.count("crashes_total", tags)
	m.scope.Tagged(tags).Counter("crash_tasks_total").Inc(int64(len(c.Tasks)))
}

var cancelResults = [...]string{port.CancelledHere: "here", port.CancelledElsewhere: "elsewhere", port.CancelFailed: "failed"}

// Cancel counts a cancellation by a caller, and records the time to its answer.
func (m *Metrics) Cancel(r port.CancelResult, took time.Duration) {
	tags := map[string]string{"result": cancelResults[r]}
	m.count("cancels_total", tags)
	m.scope.Tagged(tags).Histogram("cancel_seconds", m.buckets).RecordDuration(took)
}

// GivenUpRun counts a run that was over after its job had ended, and records the time
// between the two.
func (m *Metrics) GivenUpRun(a scheduler.GivenUpRunOver) {
	tags := map[string]string{"evidence": a.Evidence.String()}
	m.count("given_up_runs_total", tags)
	m.scope.Tagged(tags).Histogram("given_up_run_seconds", m.buckets).RecordDuration(a.After)
}

// Stop counts a request to stop a run.
func (m *Metrics) Stop(answered bool) {
	m.count("stops_total", map[string]string{"result": result(answered)})
}

// Poll counts a poll of a target.
func (m *Metrics) Poll(answered bool) {
	m.count("looks_total", map[string]string{"result": result(answered)})
}

// StoreCall counts a call to the store and records its time. The time of a watch
// is not recorded, because a watch waits for changes.
func (m *Metrics) StoreCall(kind string, ok bool, took time.Duration) {
	m.count("store_calls_total", map[string]string{"kind": kind, "result": result(ok)})
	if kind != "watch" {
		m.scope.Histogram("store_call_seconds", m.buckets).RecordDuration(took)
	}
}

// result returns the value of the label "result".
func result(ok bool) string {
	if ok {
		return "ok"
	}
	return "error"
}

// SetGauges sets the gauges from the scheduler's statistics, the number of owned
// shards, the version of the configuration and the number of evacuated zones.
func (m *Metrics) SetGauges(st scheduler.Stats, shards int, version int64, evacuatedZones int) {
	for name, v := range map[string]float64{
		"owned_shards": float64(shards), "targets": float64(st.Targets), "usable_targets": float64(st.Usable),
		"free_cores": float64(st.FreeCPU) / 1000, "queued_jobs": float64(st.Queued), "running_tasks": float64(st.Running),
		"forecast_wait_seconds": st.ForecastWait.Seconds(), "configuration_version": float64(version),
		"evacuated_zones": float64(evacuatedZones), "evacuated_cores": float64(st.EvacuatedCPU) / 1000,
		"evacuated_running_tasks": float64(st.EvacuatedRunning),
	} {
		m.scope.Gauge(name).Update(v)
	}
}

// Idle counts CPU that was free while jobs waited since the last call.
func (m *Metrics) Idle(c scheduler.IdleCPU) {
	for r, v := range c {
		m.scope.Tagged(map[string]string{"reason": scheduler.IdleReason(r).String()}).Counter("idle_core_milliseconds_total").Inc(v)
	}
}

// SetRequests sets the gauges of what clients hold.
func (m *Metrics) SetRequests(st intake.Stats) {
	for name, v := range map[string]float64{
		"request_bytes": float64(st.Bytes), "connections": float64(st.Connections), "unfinished_requests": float64(st.Unfinished),
	} {
		m.scope.Gauge(name).Update(v)
	}
}

// RefusedRequest counts a request that was refused because of a limit.
func (m *Metrics) RefusedRequest(l intake.Limit) {
	m.count("refused_requests_total", map[string]string{"limit": string(l)})
}

// ClosedConnection counts a connection that was closed because of a limit.
func (m *Metrics) ClosedConnection(l intake.Limit) {
	m.count("closed_connections_total", map[string]string{"limit": string(l)})
}

// Close reports the last values and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
