package poolrun

import (
	"math"
	"slices"
	"time"

	"marigoldfront.dev/core/scheduler"
)

// window is the length of the spans of which the worst are taken.
const window = 2 * time.Second

// lateFactor is how many objectives after its arrival an answer is worthless.
const lateFactor = 3

// Result is what the callers got in one run.
type Result struct {
	Policy string
	Seed   uint64
	Jobs   int
	// EarnedShare, WorstWindowsShare and WorstKindShare are shares of what could be earned:
	// overall, in the two worst spans of two seconds, and of the worst kind.
	EarnedShare, WorstWindowsShare, WorstKindShare float64
	// InTime, Late, Refused, Failed and Unknown are shares of the jobs.
	InTime, Late, Refused, Failed, Unknown float64
	// P50 and P99 are the times of answers with a result, in milliseconds.
	P50, P99 float64
	// Starts and Polls count orders; WastedCoreSeconds is the work that was not finished,
	// in core-seconds.
	Starts, Polls int
	// TimerWakes counts decisions that no event caused.
	TimerWakes        int
	WastedCoreSeconds float64
}

// Run runs an experiment under a policy.
func Run(x Experiment, p Policy, seed uint64) Result {
	w := newWorld(x, p, seed)
	w.RunUntil(w.begin.Add(seconds(x.Seconds) + 10*time.Second))
	w.count()
	return w.result
}

// share is what was earned of what could be.
type share struct{ earned, owed float64 }

func (s share) value() float64 {
	if s.owed == 0 {
		return 1
	}
	return s.earned / s.owed
}

func (w *world) count() {
	r := &w.result
	r.Jobs = len(w.jobs)
	var all share
	spans := make([]share, int(math.Ceil(w.x.Seconds/window.Seconds())))
	kinds := map[string]*share{}
	var took []float64
	for _, j := range w.jobs {
		if kinds[j.kind.Name] == nil {
			kinds[j.kind.Name] = &share{}
		}
		v := w.value(j)
		for _, s := range []*share{&all, &spans[int(j.arrives.Sub(w.begin)/window)], kinds[j.kind.Name]} {
			s.earned += v
			s.owed += j.kind.Worth
		}
		if _, ok := j.outcome.(scheduler.Completed); ok {
			took = append(took, float64(j.took)/float64(time.Millisecond))
		}
	}
	for _, n := range []*float64{&r.InTime, &r.Late, &r.Refused, &r.Failed, &r.Unknown} {
		*n /= float64(max(1, r.Jobs))
	}
	r.EarnedShare, r.WorstKindShare = all.value(), 1
	for _, s := range kinds {
		r.WorstKindShare = min(r.WorstKindShare, s.value())
	}
	slices.SortFunc(spans, func(a, b share) int {
		if a.value() < b.value() {
			return -1
		}
		return 1
	})
	worst := spans[:min(2, len(spans))]
	for _, s := range worst {
		r.WorstWindowsShare += s.value() / float64(len(worst))
	}
	slices.Sort(took)
	r.P50, r.P99 = quantile(took, 0.5), quantile(took, 0.99)
}

// value classifies a job's answer and returns what it is worth.
func (w *world) value(j *job) float64 {
	r := &w.result
	switch j.outcome.(type) {
	case scheduler.Completed:
		if j.took <= j.objective {
			r.InTime++
			return j.kind.Worth
		}
		r.Late++
		if j.took <= lateFactor*j.objective {
			return j.kind.LateWorth
		}
	case scheduler.Refused:
		r.Refused++
	case scheduler.Failed:
		r.Failed++
	default:
		r.Unknown++
	}
	return 0
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Mean returns the means over runs of one policy.
func Mean(policy string, rows []Result) Result {
	out := Result{Policy: policy}
	n := float64(max(1, len(rows)))
	for _, r := range rows {
		out.Jobs += r.Jobs / int(n)
		out.Starts += r.Starts / int(n)
		out.Polls += r.Polls / int(n)
		out.TimerWakes += r.TimerWakes / int(n)
		for _, v := range []struct {
			to   *float64
			from float64
		}{
			{&out.EarnedShare, r.EarnedShare}, {&out.WorstWindowsShare, r.WorstWindowsShare}, {&out.WorstKindShare, r.WorstKindShare},
			{&out.InTime, r.InTime}, {&out.Late, r.Late}, {&out.Refused, r.Refused}, {&out.Failed, r.Failed},
			{&out.Unknown, r.Unknown}, {&out.P50, r.P50}, {&out.P99, r.P99}, {&out.WastedCoreSeconds, r.WastedCoreSeconds},
		} {
			*v.to += v.from / n
		}
	}
	return out
}
