package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marigoldfront.dev/bench/fleet"
	"marigoldfront.dev/bench/load"
	"marigoldfront.dev/bench/procstat"
	"marigoldfront.dev/bench/scrape"
	"marigoldfront.dev/core/answer"
)

// Slowdowns are recorded in thousandths.
const (
	slowdownUnit   = 1000
	largestRecord  = 10_000 * slowdownUnit
	recordedDigits = 3
)

// Row is the result of one scenario with one policy and seed.
type Row struct {
	Scenario string
	Policy   string
	Seed     uint64
	Load     float64
	Jobs     int
	// P50, P95 and P99 are percentiles of the slowdown of complete jobs.
	P50, P95, P99 float64
	// Goodput is the share of jobs that were answered complete.
	Goodput                 float64
	Failed, NotRun, Unknown int
	// Reasons counts the jobs that are not complete by reason code.
	Reasons map[answer.Code]int
	// The wasted messages are per answer. ExtraStarts are starts, counted by
	// the targets, that are not one of the first starts of a complete job's
	// tasks: retries, hedges, and work of other answers.
	RefusedAttempts, ExtraStarts, AmbiguousAttempts, StopRequests, ForwardedRequests, MismatchedReplies float64
	// ControlBytesPerSecond is per entry instance and second, in an idle system only.
	ControlBytesPerSecond float64
	// CPU is the processor time of all entry instances per 1,000 starts; in an
	// idle system it is that of one instance per 1,000 s.
	CPU time.Duration
}

func newRow(sc scenario, policy string, seed uint64, outcomes []load.Outcome, speeds []float64) Row {
	r := Row{Scenario: sc.name, Policy: policy, Seed: seed, Load: sc.load, Reasons: map[answer.Code]int{}}
	h := hdrhistogram.New(1, largestRecord, recordedDigits)
	complete := 0
	for _, o := range outcomes {
		if o.Job.Caller != quietCaller {
			continue
		}
		r.Jobs++
		if o.State != load.Complete {
			r.Reasons[o.Code]++
		}
		switch o.State {
		case load.Complete:
			complete++
			slowdown := float64(o.Latency) / float64(load.IdealMakespan(o.Job.RunTimes, speeds))
			// A value outside of the range is above 10,000 and stays in the
			// count of complete jobs.
			_ = h.RecordValue(int64(slowdown * slowdownUnit))
		case load.Failed:
			r.Failed++
		case load.NotRun:
			r.NotRun++
		case load.Unknown, load.NoAnswer:
			r.Unknown++
		}
	}
	if r.Jobs > 0 {
		r.Goodput = float64(complete) / float64(r.Jobs)
		r.P50, r.P95, r.P99 = quantile(h, 50), quantile(h, 95), quantile(h, 99)
	}
	return r
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / slowdownUnit
}

func (r *Row) countMessages(v scrape.Values, starts []fleet.TaskStart, outcomes []load.Outcome) {
	answers := float64(len(outcomes))
	if answers == 0 {
		return
	}
	useful := 0
	for _, o := range outcomes {
		if o.State == load.Complete {
			useful += len(o.Job.RunTimes)
		}
	}
	r.ExtraStarts = float64(len(starts)-useful) / answers
	r.RefusedAttempts = v.Sum("marigold_attempts_total", `outcome="refused"`) / answers
	r.AmbiguousAttempts = v.Sum("marigold_attempts_total", `outcome="lost"`) / answers
	r.StopRequests = v.Sum("marigold_stops_total") / answers
	r.ForwardedRequests = v.Sum("marigold_forwards_total") / answers
	r.MismatchedReplies = v.Sum("marigold_mismatched_replies_total") / answers
}

func (r *Row) countUsage(before, after map[string]procstat.Sample, starts int) {
	var cpu time.Duration
	var bytes, seconds float64
	for name, a := range after {
		b := before[name]
		cpu += a.CPU - b.CPU
		bytes += float64(a.IOBytes - b.IOBytes)
		seconds += a.At.Sub(b.At).Seconds()
	}
	switch {
	case starts > 0:
		r.CPU = cpu * 1000 / time.Duration(starts)
	case seconds > 0:
		r.CPU = time.Duration(float64(cpu) * 1000 / seconds)
		r.ControlBytesPerSecond = bytes / seconds
	}
}
