package scheduler

import (
	"math"
	"time"
)

const (
	// taskLogStdDev is the standard deviation of the logarithm of the forecast
	// error of one task on a target of known speed, compared with the other tasks
	// of its job. The error of the whole job's forecast is Policy.ForecastStdDev.
	// The latency objective is a multiple of the job's forecast, so that only
	// taskLogStdDev applies to it.
	taskLogStdDev = 0.15
	// lateValue is the value of an answer that misses the latency objective,
	// relative to one that meets it.
	lateValue = 0.2
)

// expectedValue forecasts the value of the job's answer, at most 1, if the task
// starts on the target after a wait and all other tasks end in time. It is negative
// if the outcome is likely to be unknown at the deadline. base is the task's run
// time on a target of average speed.
func (s *Scheduler) expectedValue(k *task, base time.Duration, t *target, wait time.Duration) float64 {
	j := k.job
	d, slownessVariance := s.expectedRunTime(k, base, t), s.model.SlownessVariance(t.ID)
	taskStdDev := math.Sqrt(taskLogStdDev*taskLogStdDev + slownessVariance)
	stdDev := taskStdDev
	if len(j.stepRuns[k.id.Step].samples) == 0 {
		stdDev = math.Sqrt(s.policy.ForecastStdDev*s.policy.ForecastStdDev + slownessVariance)
	}
	start := s.now.Add(wait)
	deadline := probabilityInTime(d, j.Deadline.Sub(start), stdDev)
	objective := probabilityInTime(d, j.Arrived.Add(j.objective).Sub(start), taskStdDev)
	late := probabilityInTime(d, s.worthlessAfter(j).Sub(start), taskStdDev)
	return deadline*((1-lateValue)*objective+lateValue*late) - s.policy.UnknownCost*(1-deadline)
}

// probabilityInTime returns the probability that a run with the forecast d ends
// within left. The forecast error is assumed to be log-normal. stdDev is the
// standard deviation of its logarithm.
func probabilityInTime(d, left time.Duration, stdDev float64) float64 {
	if left <= 0 {
		return 0
	}
	ratio := float64(left) / float64(max(d, time.Millisecond))
	switch {
	case ratio > certaintyRatio:
		return 1
	case ratio < 1/certaintyRatio:
		return 0
	}
	return 0.5 * math.Erfc(-math.Log(ratio)/stdDev/math.Sqrt2)
}

// certaintyRatio is the ratio between the remaining time and the forecast above
// which the probability is taken as 1, and below whose inverse it is taken as 0.
// It corresponds to more than three standard deviations and avoids computing most
// of the logarithms.
const certaintyRatio = 3.3

// bestExpectedValue returns the lowest expected value among the ready tasks of a
// job, each on its best target. Free capacity is not taken into account.
func (s *Scheduler) bestExpectedValue(j *job) float64 {
	worst := 1.0
	for i, ts := range j.tasks {
		if !j.ready(i) {
			continue
		}
		best, base := 0.0, s.baseRunTime(ts[0])
		for _, t := range s.sortedTargets {
			if s.isCandidate(t, ts[0]) {
				best = max(best, s.expectedValue(ts[0], base, t, 0))
			}
		}
		worst = min(worst, best)
	}
	return worst
}
