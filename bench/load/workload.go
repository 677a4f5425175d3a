// Package load draws jobs with known run times from a seed and submits them
// at planned times, whether or not earlier ones are answered.
package load

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Job is one planned job.
type Job struct {
	// SubmitAt is when to submit it, from the start of the run.
	SubmitAt time.Duration
	// Caller is the index of the caller that submits it.
	Caller     int
	Repeatable bool
	Timeout    time.Duration
	// RunTimes holds the run time of each task at speed 1.
	RunTimes []time.Duration
	// Declared holds the run times that the caller declares, which may be far
	// off.
	Declared []time.Duration
}

// Workload describes the jobs to draw.
type Workload struct {
	// MeanRun is the mean run time of a task at speed 1. Run times spread over
	// a factor of 20, and every fiftieth is four times as long.
	MeanRun time.Duration
	// MaxTasks bounds the tasks of a job, which are drawn evenly from 1.
	MaxTasks int
	Timeout  time.Duration
	// RepeatableShare is the share of repeatable jobs.
	RepeatableShare float64
}

const (
	runSpread = 20
	longShare = 0.02
	longTimes = 4
	// declaredSigma is the logarithmic error of declared run times: one in
	// three is off by more than a factor of 2.
	declaredSigma = 0.7
)

// draw returns a job of the workload.
func (s Workload) draw(rng *rand.Rand) Job {
	j := Job{Repeatable: rng.Float64() < s.RepeatableShare, Timeout: s.Timeout}
	// The mean of a log-uniform value over [a, 20a] is 19a/ln(20).
	shortest := float64(s.MeanRun) * math.Log(runSpread) / (runSpread - 1) / (1 + longShare*(longTimes-1))
	for range 1 + rng.IntN(s.MaxTasks) {
		run := shortest * math.Pow(runSpread, rng.Float64())
		if rng.Float64() < longShare {
			run *= longTimes
		}
		j.RunTimes = append(j.RunTimes, time.Duration(run).Round(time.Millisecond))
		j.Declared = append(j.Declared, time.Duration(run*math.Exp(rng.NormFloat64()*declaredSigma)).Round(time.Millisecond))
	}
	return j
}

// Poisson returns jobs of one caller that arrive independently from begin to
// end, at a mean rate of tasksPerSecond.
func (s Workload) Poisson(rng *rand.Rand, caller int, begin, end time.Duration, tasksPerSecond float64) []Job {
	var jobs []Job
	jobsPerSecond := tasksPerSecond / (float64(1+s.MaxTasks) / 2)
	for at := begin; ; {
		at += time.Duration(rng.ExpFloat64() / jobsPerSecond * float64(time.Second))
		if at >= end {
			return jobs
		}
		j := s.draw(rng)
		j.SubmitAt, j.Caller = at, caller
		jobs = append(jobs, j)
	}
}

// Sort orders jobs by their time.
func Sort(jobs []Job) {
	slices.SortStableFunc(jobs, func(a, b Job) int { return cmp.Compare(a.SubmitAt, b.SubmitAt) })
}

// IdealMakespan returns the time that the tasks alone need on slots of the given
// speeds, in an empty system without any overhead: the longest task goes to
// the slot that ends it first, and so on.
func IdealMakespan(runs []time.Duration, speeds []float64) time.Duration {
	order := slices.Clone(runs)
	slices.SortFunc(order, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	free := make([]time.Duration, len(speeds))
	var end time.Duration
	for _, run := range order {
		best, bestEnd := 0, time.Duration(math.MaxInt64)
		for i, speed := range speeds {
			if e := free[i] + time.Duration(float64(run)/speed); e < bestEnd {
				best, bestEnd = i, e
			}
		}
		free[best] = bestEnd
		end = max(end, bestEnd)
	}
	return end
}
