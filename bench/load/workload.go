// Package load generates an open-loop load: it draws jobs with known run times
// from a seed and submits them at planned times, whether or not earlier jobs
// have been answered.
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
	// SubmitAt is the time of the submission, counted from the start of the
	// run.
	SubmitAt time.Duration
	// Caller is the index of the caller that submits the job.
	Caller     int
	Repeatable bool
	Timeout    time.Duration
	// RunTimes holds the run time of each task at speed 1.
	RunTimes []time.Duration
	// Declared holds the run time that the caller declares for each task. It
	// may differ widely from the actual run time.
	Declared []time.Duration
}

// Workload describes the jobs to draw.
type Workload struct {
	// MeanRun is the mean run time of a task at speed 1. Run times have a
	// log-uniform distribution over a factor of 20, and 2% of them are four
	// times as long.
	MeanRun time.Duration
	// MaxTasks is the maximum number of tasks of a job. The number is drawn
	// uniformly from 1 to MaxTasks.
	MaxTasks int
	// Timeout is the timeout of every job.
	Timeout time.Duration
	// RepeatableShare is the share of repeatable jobs, from 0 to 1.
	RepeatableShare float64
}

const (
	// runTimeSpread is the ratio of the longest to the shortest run time,
	// without the long tasks. longShare of the tasks take longFactor times as
	// long.
	runTimeSpread = 20
	longShare     = 0.02
	longFactor    = 4
	// declaredSigma is the standard deviation of the logarithm of declared
	// relative to actual run times: one in three declared run times is off by
	// more than a factor of 2.
	declaredSigma = 0.7
)

// drawJob draws a job without its time of submission and its caller.
func (w Workload) drawJob(rng *rand.Rand) Job {
	j := Job{Repeatable: rng.Float64() < w.RepeatableShare, Timeout: w.Timeout}
	// The mean of a log-uniform value over [a, 20a] is 19a/ln(20).
	minRunTime := float64(w.MeanRun) * math.Log(runTimeSpread) / (runTimeSpread - 1) / (1 + longShare*(longFactor-1))
	for range 1 + rng.IntN(w.MaxTasks) {
		runTime := minRunTime * math.Pow(runTimeSpread, rng.Float64())
		if rng.Float64() < longShare {
			runTime *= longFactor
		}
		j.RunTimes = append(j.RunTimes, time.Duration(runTime).Round(time.Millisecond))
		j.Declared = append(j.Declared, time.Duration(runTime*math.Exp(rng.NormFloat64()*declaredSigma)).Round(time.Millisecond))
	}
	return j
}

// Poisson returns the jobs of one caller between begin and end. The jobs arrive
// as a Poisson process with a mean rate of tasksPerSecond tasks.
func (w Workload) Poisson(rng *rand.Rand, caller int, begin, end time.Duration, tasksPerSecond float64) []Job {
	var jobs []Job
	jobsPerSecond := tasksPerSecond / (float64(1+w.MaxTasks) / 2)
	for at := begin; ; {
		at += time.Duration(rng.ExpFloat64() / jobsPerSecond * float64(time.Second))
		if at >= end {
			return jobs
		}
		j := w.drawJob(rng)
		j.SubmitAt, j.Caller = at, caller
		jobs = append(jobs, j)
	}
}

// Sort sorts jobs by SubmitAt. Jobs with the same time keep their order.
func Sort(jobs []Job) {
	slices.SortStableFunc(jobs, func(a, b Job) int { return cmp.Compare(a.SubmitAt, b.SubmitAt) })
}

// IdealMakespan returns the time that tasks with the given run times take on
// otherwise idle slots of the given speeds, without any overhead. Tasks are
// assigned from the longest to the shortest, each to the slot that ends it
// first.
func IdealMakespan(runs []time.Duration, speeds []float64) time.Duration {
	order := slices.Clone(runs)
	slices.SortFunc(order, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	freeAt := make([]time.Duration, len(speeds))
	var end time.Duration
	for _, run := range order {
		best, bestEnd := 0, time.Duration(math.MaxInt64)
		for i, speed := range speeds {
			if e := freeAt[i] + time.Duration(float64(run)/speed); e < bestEnd {
				best, bestEnd = i, e
			}
		}
		freeAt[best] = bestEnd
		end = max(end, bestEnd)
	}
	return end
}
