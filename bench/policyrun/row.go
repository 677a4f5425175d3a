package policyrun

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/dispatch"
)

// WastedMessages counts the wasted messages per answer, by kind.
type WastedMessages struct {
	Refused, Unsent, Retries, Hedges, Late, Stops float64
}

// Sum returns the wasted messages per answer.
func (w WastedMessages) Sum() float64 {
	return w.Refused + w.Unsent + w.Retries + w.Hedges + w.Late + w.Stops
}

// Row is the result of one run.
type Row struct {
	Scenario string
	Policy   string
	// Seeds names the seed, or the seeds of a mean.
	Seeds string
	Load  float64
	Jobs  int
	// P50, P95 and P99 are the slowdown of complete jobs.
	P50, P95, P99 float64
	// Goodput is the work of complete jobs relative to the capacity.
	Goodput float64
	Wasted  WastedMessages
	// NotRun, Failed and Unknown are shares of the jobs. Affected is the share
	// that met a failed attempt without being the cause, Degraded the part of them
	// that did not complete or took more than hurtFrom of their own need.
	NotRun, Failed, Unknown, Affected, Degraded float64
}

const hurtFrom = 1.5

// Run runs a scenario under a policy.
func Run(sc Scenario, policy dispatch.PolicyName, seed uint64) Row {
	w := newWorld(sc, policy, seed)
	w.prepare()
	w.RunUntil(w.begin.Add(warmUp))
	before := w.stats()
	w.RunUntil(w.begin.Add(sc.Length + time.Minute))
	row := Row{Scenario: sc.Name, Policy: string(policy), Seeds: strconv.FormatUint(seed, 10), Load: sc.Load}
	w.fill(&row, w.stats().minus(before))
	return row
}

// counts are the counters of all Dispatchers.
type counts struct {
	refused, unsent, retries, hedges, late, stops, answers float64
}

func (w *world) stats() counts {
	var c counts
	for _, e := range w.entries {
		s := e.d.Stats()
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

func (c counts) minus(o counts) counts {
	return counts{c.refused - o.refused, c.unsent - o.unsent, c.retries - o.retries, c.hedges - o.hedges,
		c.late - o.late, c.stops - o.stops, c.answers - o.answers}
}

func (w *world) fill(row *Row, c counts) {
	n := max(c.answers, 1)
	row.Wasted = WastedMessages{c.refused / n, c.unsent / n, c.retries / n, c.hedges / n, c.late / n, c.stops / n}
	var slow []float64
	work := 0.0
	for _, j := range w.all {
		_, complete := j.answer.(answer.Complete)
		if complete {
			work += w.workIn(j)
		}
		if j.arrived.Before(w.begin.Add(warmUp)) || w.sc.FloodLoad > 0 && j.team == teams[3] {
			continue
		}
		if (w.sc.BurstLoad > 0 || w.sc.FloodLoad > 0) && j.arrived.Before(w.window[0]) {
			continue
		}
		row.Jobs++
		w.classify(row, j)
		slowdown := float64(j.ended.Sub(j.arrived)) / float64(j.ideal)
		if complete {
			slow = append(slow, slowdown)
		}
		if j.touched && (!complete || slowdown > hurtFrom) {
			row.Degraded++
		}
	}
	for _, share := range []*float64{&row.NotRun, &row.Failed, &row.Unknown, &row.Affected, &row.Degraded} {
		*share /= float64(max(row.Jobs, 1))
	}
	slices.Sort(slow)
	row.P50, row.P95, row.P99 = quantile(slow, 0.5), quantile(slow, 0.95), quantile(slow, 0.99)
	row.Goodput = work / (w.capacity() * w.window[1].Sub(w.window[0]).Seconds())
}

func (w *world) classify(row *Row, j *job) {
	if j.touched {
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

// workIn returns the work of a job's runs within the window, in seconds at
// speed 1.
func (w *world) workIn(j *job) float64 {
	sum := 0.0
	for _, r := range j.runs {
		from, to := r.from, r.to
		if from.Before(w.window[0]) {
			from = w.window[0]
		}
		if to.After(w.window[1]) {
			to = w.window[1]
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

// TableHeader is the first two lines of a table of rows.
const TableHeader = "| scenario | policy | seed | load | jobs | p50 | p95 | p99 | goodput | wasted | refused | unsent | retries | hedges | late | stops | not run | failed | unknown | touched | hurt |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// Mean returns the mean of at least two rows that differ in their seeds.
func Mean(rows []Row) Row {
	m := rows[0]
	m.Seeds += " to " + rows[len(rows)-1].Seeds
	for _, r := range rows[1:] {
		m.Jobs += r.Jobs
		for i, v := range m.values() {
			*v += *r.values()[i]
		}
	}
	m.Jobs /= len(rows)
	for _, v := range m.values() {
		*v /= float64(len(rows))
	}
	return m
}

func (r *Row) values() []*float64 {
	w := &r.Wasted
	return []*float64{&r.P50, &r.P95, &r.P99, &r.Goodput, &r.NotRun, &r.Failed, &r.Unknown, &r.Affected, &r.Degraded,
		&w.Refused, &w.Unsent, &w.Retries, &w.Hedges, &w.Late, &w.Stops}
}

// String returns the row as a line of a table.
func (r Row) String() string {
	w := r.Wasted
	return fmt.Sprintf("| %s | %s | %s | %.2f | %d | %.2f | %.2f | %.2f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.2f%% | %.2f%% | %.2f%% | %.2f%% | %.2f%% |",
		r.Scenario, r.Policy, r.Seeds, r.Load, r.Jobs, r.P50, r.P95, r.P99, r.Goodput,
		w.Sum(), w.Refused, w.Unsent, w.Retries, w.Hedges, w.Late, w.Stops,
		100*r.NotRun, 100*r.Failed, 100*r.Unknown, 100*r.Affected, 100*r.Degraded)
}
