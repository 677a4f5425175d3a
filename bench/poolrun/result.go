package poolrun

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"marigoldfront.dev/core/scheduler"
)

// windowLength is the length of the windows by arrival time, of which
// WorstWindowsShare takes the worst.
const windowLength = 2 * time.Second

// lateFactor is the latency, as a multiple of the latency objective, above which
// an answer has no value.
const lateFactor = 3

// Result is the result of one run, or the mean over several runs.
type Result struct {
	Policy string
	Seed   uint64
	Jobs   int
	// EarnedShare is the value of all answers relative to that of answers within
	// the objective to all jobs. WorstWindowsShare is the mean of this share over
	// the two worst windows, WorstKindShare the share of the worst kind of job.
	EarnedShare, WorstWindowsShare, WorstKindShare float64
	// LargestShare is the share that the largest tenth of the jobs of a kind, by
	// work, has earned, for the kind with the lowest share.
	LargestShare float64
	// InTime, Late, Refused, Failed and Unknown are shares of the jobs by their
	// answer. InTime and Late are complete answers within the latency objective
	// and after it.
	InTime, Late, Refused, Failed, Unknown float64
	// P50 and P99 are quantiles of the latency of complete answers, in
	// milliseconds.
	P50, P99 float64
	// Starts is the number of accepted starts, Polls the number of polls.
	Starts, Polls int
	// TimerWakes is the number of times that a timer woke a scheduler.
	TimerWakes int
	// WastedCoreSeconds is the work of runs that did not succeed, in
	// core-seconds.
	WastedCoreSeconds float64
	// Kinds holds the results by kind of job, in the order of the experiment.
	Kinds []KindResult
}

// KindResult is the result for one kind of job. EarnedShare and Refused are shares of
// its jobs, by value and by number.
type KindResult struct {
	Name                 string
	EarnedShare, Refused float64
}

// Run simulates an experiment with a policy. The result depends only on the
// arguments.
func Run(exp Experiment, p Policy, seed uint64) Result {
	sim := newSimulation(exp, p, seed)
	sim.run()
	sim.summarize()
	return sim.result
}

// run runs the simulation until all jobs are answered.
func (sim *simulation) run() {
	end := sim.begin.Add(seconds(sim.exp.Seconds) + 10*time.Second)
	if last := sim.lastDeadline.Add(time.Second); last.After(end) {
		end = last
	}
	sim.RunUntil(end)
}

// valueShare is the value earned and the value that could be earned.
type valueShare struct{ earned, possible float64 }

// ratio returns the earned share, or 1 if nothing could be earned.
func (s valueShare) ratio() float64 {
	if s.possible == 0 {
		return 1
	}
	return s.earned / s.possible
}

// jobScore is the value of one job's answer, and the job's work.
type jobScore struct {
	valueShare
	work time.Duration
}

// largestTenth returns the value of the jobs with the most work.
func largestTenth(all []jobScore) (sum valueShare) {
	slices.SortFunc(all, func(a, b jobScore) int { return cmp.Compare(b.work, a.work) })
	for _, s := range all[:(len(all)+9)/10] {
		sum.earned += s.earned
		sum.possible += s.possible
	}
	return sum
}

// work returns the total run time of a job's tasks on targets of slowness 1.
func (j *job) work() (total time.Duration) {
	for _, t := range j.tasks {
		total += t.runTime
	}
	return total
}

// summarize sets the fields of the result after a run.
func (sim *simulation) summarize() {
	r := &sim.result
	r.Jobs = len(sim.jobs)
	var total valueShare
	windows := make([]valueShare, int(math.Ceil(sim.exp.Seconds/windowLength.Seconds())))
	kinds := map[string]*valueShare{}
	scores := map[string][]jobScore{}
	refused := map[string]int{}
	var latencies []float64
	for _, j := range sim.jobs {
		if kinds[j.kind.Name] == nil {
			kinds[j.kind.Name] = &valueShare{}
		}
		v := sim.scoreJob(j)
		scores[j.kind.Name] = append(scores[j.kind.Name], jobScore{work: j.work(), valueShare: valueShare{v, j.kind.Worth}})
		for _, s := range []*valueShare{&total, &windows[int(j.arrival.Sub(sim.begin)/windowLength)], kinds[j.kind.Name]} {
			s.earned += v
			s.possible += j.kind.Worth
		}
		if _, ok := j.outcome.(scheduler.Refused); ok {
			refused[j.kind.Name]++
		}
		if _, ok := j.outcome.(scheduler.Completed); ok {
			latencies = append(latencies, float64(j.latency)/float64(time.Millisecond))
		}
	}
	for _, n := range []*float64{&r.InTime, &r.Late, &r.Refused, &r.Failed, &r.Unknown} {
		*n /= float64(max(1, r.Jobs))
	}
	r.EarnedShare, r.WorstKindShare, r.LargestShare = total.ratio(), 1, 1
	for _, k := range sim.exp.Kinds {
		s, n := kinds[k.Name], max(1, len(scores[k.Name]))
		if s == nil {
			s = &valueShare{}
		}
		r.Kinds = append(r.Kinds, KindResult{Name: k.Name, EarnedShare: s.ratio(), Refused: float64(refused[k.Name]) / float64(n)})
	}
	for name, s := range kinds {
		r.WorstKindShare = min(r.WorstKindShare, s.ratio())
		r.LargestShare = min(r.LargestShare, largestTenth(scores[name]).ratio())
	}
	slices.SortFunc(windows, func(a, b valueShare) int {
		if a.ratio() < b.ratio() {
			return -1
		}
		return 1
	})
	worst := windows[:min(2, len(windows))]
	for _, s := range worst {
		r.WorstWindowsShare += s.ratio() / float64(len(worst))
	}
	slices.Sort(latencies)
	r.P50, r.P99 = quantile(latencies, 0.5), quantile(latencies, 0.99)
}

// scoreJob counts a job's answer by its kind and returns its value.
func (sim *simulation) scoreJob(j *job) float64 {
	r := &sim.result
	switch j.outcome.(type) {
	case scheduler.Completed:
		if j.latency <= j.objective {
			r.InTime++
			return j.kind.Worth
		}
		r.Late++
		if j.latency <= lateFactor*j.objective {
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

// Mean returns the mean over runs of one policy. Counts are rounded down.
func Mean(policy string, rows []Result) Result {
	out := Result{Policy: policy}
	n := float64(max(1, len(rows)))
	for _, r := range rows {
		for i, k := range r.Kinds {
			if i == len(out.Kinds) {
				out.Kinds = append(out.Kinds, KindResult{Name: k.Name})
			}
			out.Kinds[i].EarnedShare += k.EarnedShare / n
			out.Kinds[i].Refused += k.Refused / n
		}
		out.Jobs += r.Jobs / int(n)
		out.Starts += r.Starts / int(n)
		out.Polls += r.Polls / int(n)
		out.TimerWakes += r.TimerWakes / int(n)
		for _, v := range []struct {
			to   *float64
			from float64
		}{
			{&out.EarnedShare, r.EarnedShare}, {&out.WorstWindowsShare, r.WorstWindowsShare}, {&out.WorstKindShare, r.WorstKindShare},
			{&out.LargestShare, r.LargestShare},
			{&out.InTime, r.InTime}, {&out.Late, r.Late}, {&out.Refused, r.Refused}, {&out.Failed, r.Failed},
			{&out.Unknown, r.Unknown}, {&out.P50, r.P50}, {&out.P99, r.P99}, {&out.WastedCoreSeconds, r.WastedCoreSeconds},
		} {
			*v.to += v.from / n
		}
	}
	return out
}

// EarnedChange returns the mean change of the earned share from the runs of one
// policy to those of another with the same seeds, and its standard error.
func EarnedChange(from, to []Result) (change, stdErr float64) {
	diffs := make([]float64, len(from))
	for i := range from {
		diffs[i] = to[i].EarnedShare - from[i].EarnedShare
	}
	mean, stdDev := stat.MeanStdDev(diffs, nil)
	return mean, stat.StdErr(stdDev, float64(len(diffs)))
}
