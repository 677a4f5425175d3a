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

const (
	// slowdownScale converts a slowdown to the integers that the histogram
	// records, which are thousandths.
	slowdownScale       = 1000
	maxRecordedSlowdown = 10_000 * slowdownScale
	significantDigits   = 3
)

// Row is the result of one scenario with one policy and seed.
type Row struct {
	Scenario string
	Policy   string
	Seed     uint64
	// Load is the offered load as a share of the capacity of the targets.
	Load float64
	// Jobs is the number of jobs of the measured caller.
	Jobs int
	// P50, P95 and P99 are percentiles of the slowdown of complete jobs: the
	// latency divided by the ideal makespan.
	P50, P95, P99 float64
	// Goodput is the share of jobs that were answered complete.
	Goodput                 float64
	Failed, NotRun, Unknown int
	// Reasons counts the jobs that are not complete, by reason code.
	Reasons map[answer.Code]int
	// The following messages are counted per answer. ExtraStarts are the starts
	// that the targets report beyond one start for each task of a complete job:
	// retries, hedged attempts, and starts for jobs that are not complete.
	RefusedAttempts, ExtraStarts, AmbiguousAttempts, StopRequests, ForwardedRequests, MismatchedReplies float64
	// ControlBytesPerSecond is the number of bytes that an entry instance reads
	// and writes per second. It is measured only if no task is started.
	ControlBytesPerSecond float64
	// CPU is the processor time of all entry instances per 1,000 starts. In an
	// idle system it is the processor time of one instance per 1,000 s.
	CPU time.Duration
}

// newRow counts the jobs of the measured caller by their outcome. The speeds of
// all slots determine the ideal makespan of a job.
func newRow(sc scenario, policy string, seed uint64, outcomes []load.Outcome, speeds []float64) Row {
	r := Row{Scenario: sc.name, Policy: policy, Seed: seed, Load: sc.load, Reasons: map[answer.Code]int{}}
	h := hdrhistogram.New(1, maxRecordedSlowdown, significantDigits)
	complete := 0
	for _, o := range outcomes {
		if o.Job.Caller != measuredCaller {
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
			// The histogram rejects values above its range, a slowdown of
			// 10,000. Such a job is counted as complete only.
			_ = h.RecordValue(int64(slowdown * slowdownScale))
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
	return float64(h.ValueAtQuantile(q)) / slowdownScale
}

// addMessages sets the messages per answer from the counters of the entry
// instances and the starts that the targets report.
func (r *Row) addMessages(v scrape.Values, starts []fleet.TaskStart, outcomes []load.Outcome) {
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

// addUsage sets the processor time, and in an idle system the control bytes,
// from two samples of each entry instance.
func (r *Row) addUsage(before, after map[string]procstat.Sample, starts int) {
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
