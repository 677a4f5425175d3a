package policyrun

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/dispatch"
)

// WastedMessages holds the number of wasted messages per answer, by kind:
// starts that a target refused, starts that were not sent, retries, hedges, late
// or duplicate replies, and stop requests.
type WastedMessages struct {
	Refused, Unsent, Retries, Hedges, Late, Stops float64
}

// Sum returns the total number of wasted messages per answer.
func (w WastedMessages) Sum() float64 {
	return w.Refused + w.Unsent + w.Retries + w.Hedges + w.Late + w.Stops
}

// Row is the result of one run, or the mean over several runs.
type Row struct {
	Scenario string
	Policy   string
	// Seeds is the seed, or the first and the last seed of a mean.
	Seeds string
	Load  float64
	// Jobs is the number of measured jobs.
	Jobs int
	// P50, P95 and P99 are quantiles of the slowdown of complete jobs: the time
	// to the answer relative to the run time of the longest task at speed 1.
	P50, P95, P99 float64
	// Goodput is the work done for complete jobs in the measured window,
	// relative to the capacity of the targets.
	Goodput float64
	Wasted  WastedMessages
	// NotRun, Failed and Unknown are shares of the jobs by their answer.
	// Affected is the share of jobs with an attempt that failed because of its
	// target. Degraded is the share of jobs that are affected and did not
	// complete or had a slowdown above degradedSlowdown.
	NotRun, Failed, Unknown, Affected, Degraded float64
}

const degradedSlowdown = 1.5

// Run simulates a scenario with a policy. The result depends only on the
// arguments. Counters of messages start after the warm-up.
func Run(sc Scenario, policy dispatch.PolicyName, seed uint64) Row {
	sim := newSimulation(sc, policy, seed)
	sim.scheduleEvents()
	sim.RunUntil(sim.begin.Add(warmUp))
	before := sim.countMessages()
	sim.RunUntil(sim.begin.Add(sc.Length + time.Minute))
	row := Row{Scenario: sc.Name, Policy: string(policy), Seeds: strconv.FormatUint(seed, 10), Load: sc.Load}
	sim.fillRow(&row, sim.countMessages().minus(before))
	return row
}

// messageCounts holds the totals of the counters of all Dispatchers.
type messageCounts struct {
	refused, unsent, retries, hedges, late, stops, answers float64
}

func (sim *simulation) countMessages() messageCounts {
	var c messageCounts
	for _, e := range sim.entries {
		s := e.dispatcher.Stats()
		c.refused += float64(s.RefusedStarts)
		c.unsent += float64(s.UnsentStarts)
		c.retries += float64(s.Retries)
		c.hedges += float64(s.Hedges)
		c.late += float64(s.LateReplies + s.DuplicateReplies)
		c.stops += float64(s.StopRequests)
		for _, n := range s.Answers {
			c.answers += float64(n)
		}
	}
	return c
}

func (c messageCounts) minus(o messageCounts) messageCounts {
	return messageCounts{c.refused - o.refused, c.unsent - o.unsent, c.retries - o.retries, c.hedges - o.hedges,
		c.late - o.late, c.stops - o.stops, c.answers - o.answers}
}

// fillRow sets the results of a row. c holds the messages since the warm-up.
func (sim *simulation) fillRow(row *Row, c messageCounts) {
	n := max(c.answers, 1)
	row.Wasted = WastedMessages{c.refused / n, c.unsent / n, c.retries / n, c.hedges / n, c.late / n, c.stops / n}
	var slowdowns []float64
	work := 0.0
	for _, j := range sim.allJobs {
		_, complete := j.answer.(answer.Complete)
		if complete {
			work += sim.workInWindow(j)
		}
		if j.arrivedAt.Before(sim.begin.Add(warmUp)) || sim.sc.FloodLoad > 0 && j.team == teams[3] {
			continue
		}
		if (sim.sc.BurstLoad > 0 || sim.sc.FloodLoad > 0) && j.arrivedAt.Before(sim.measureWindow[0]) {
			continue
		}
		row.Jobs++
		sim.classify(row, j)
		slowdown := float64(j.answeredAt.Sub(j.arrivedAt)) / float64(j.idealTime)
		if complete {
			slowdowns = append(slowdowns, slowdown)
		}
		if j.affected && (!complete || slowdown > degradedSlowdown) {
			row.Degraded++
		}
	}
	for _, share := range []*float64{&row.NotRun, &row.Failed, &row.Unknown, &row.Affected, &row.Degraded} {
		*share /= float64(max(row.Jobs, 1))
	}
	slices.Sort(slowdowns)
	row.P50, row.P95, row.P99 = quantile(slowdowns, 0.5), quantile(slowdowns, 0.95), quantile(slowdowns, 0.99)
	row.Goodput = work / (sim.capacity() * sim.measureWindow[1].Sub(sim.measureWindow[0]).Seconds())
}

// classify counts a job by its answer. It panics if the job has none: every job
// must be answered by the end of the run.
func (sim *simulation) classify(row *Row, j *job) {
	if j.affected {
		row.Affected++
	}
	switch j.answer.(type) {
	case answer.Complete:
	case answer.NotRun:
		row.NotRun++
	case answer.Failed:
		row.Failed++
	case answer.Unknown:
		row.Unknown++
	default:
		panic(fmt.Sprintf("policyrun: job %v has no answer", j.id))
	}
}

// workInWindow returns the work of a job's runs in the measured window, in
// seconds at speed 1.
func (sim *simulation) workInWindow(j *job) float64 {
	sum := 0.0
	for _, r := range j.runs {
		from, to := r.from, r.to
		if from.Before(sim.measureWindow[0]) {
			from = sim.measureWindow[0]
		}
		if to.After(sim.measureWindow[1]) {
			to = sim.measureWindow[1]
		}
		if to.After(from) {
			sum += to.Sub(from).Seconds() * r.speed
		}
	}
	return sum
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// TableHeader is the header of a Markdown table of rows. Its columns "touched" and
// "hurt" hold Affected and Degraded.
const TableHeader = "| scenario | policy | seed | load | jobs | p50 | p95 | p99 | goodput | wasted | refused | unsent | retries | hedges | late | stops | not run | failed | unknown | touched | hurt |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// Mean returns the mean of at least two rows that differ only in their seeds.
func Mean(rows []Row) Row {
	m := rows[0]
	m.Seeds += " to " + rows[len(rows)-1].Seeds
	for _, r := range rows[1:] {
		m.Jobs += r.Jobs
		for i, v := range m.averagedFields() {
			*v += *r.averagedFields()[i]
		}
	}
	m.Jobs /= len(rows)
	for _, v := range m.averagedFields() {
		*v /= float64(len(rows))
	}
	return m
}

// averagedFields returns the fields of which Mean takes the mean.
func (r *Row) averagedFields() []*float64 {
	w := &r.Wasted
	return []*float64{&r.P50, &r.P95, &r.P99, &r.Goodput, &r.NotRun, &r.Failed, &r.Unknown, &r.Affected, &r.Degraded,
		&w.Refused, &w.Unsent, &w.Retries, &w.Hedges, &w.Late, &w.Stops}
}

// String returns the row as a line of a Markdown table.
func (r Row) String() string {
	w := r.Wasted
	return fmt.Sprintf("| %s | %s | %s | %.2f | %d | %.2f | %.2f | %.2f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.2f%% | %.2f%% | %.2f%% | %.2f%% | %.2f%% |",
		r.Scenario, r.Policy, r.Seeds, r.Load, r.Jobs, r.P50, r.P95, r.P99, r.Goodput,
		w.Sum(), w.Refused, w.Unsent, w.Retries, w.Hedges, w.Late, w.Stops,
		100*r.NotRun, 100*r.Failed, 100*r.Unknown, 100*r.Affected, 100*r.Degraded)
}
