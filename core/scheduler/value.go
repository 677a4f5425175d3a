package scheduler

import (
	"math"
	"time"
)

const (
	// taskError and jobError are the standard deviations of the logarithm of a
	// forecast on a target of known speed. The first is that of one task beside
	// the others of its job, the second also that of the whole job. The latency
	// objective is a multiple of the job's work, so that only the first bears
	// on it.
	taskError = 0.15
	jobError  = 0.3
	// lateValue is the value of an answer after the latency objective, of one
	// within it.
	lateValue = 0.2
)

// chance forecasts the value of the answer, between 0 and 1, if the task with
// the given base starts on the target after a wait and all others are in time.
func (s *Scheduler) chance(k *task, base time.Duration, t *target, wait time.Duration) float64 {
	j := k.job
	d, unknown := s.expect(k, base, t), s.model.SlownessVariance(t.ID)
	taskSpread := math.Sqrt(taskError*taskError + unknown)
	spread := taskSpread
	if len(j.ended[k.id.Step].runs) == 0 {
		spread = math.Sqrt(jobError*jobError + unknown)
	}
	start := s.now.Add(wait)
	deadline := ends(d, j.Deadline.Sub(start), spread)
	objective := ends(d, j.Arrived.Add(j.objective).Sub(start), taskSpread)
	late := ends(d, s.worthless(j).Sub(start), taskSpread)
	return deadline * ((1-lateValue)*objective + lateValue*late)
}

// ends is the probability that a run with the forecast d ends within left. The
// error of the forecast is log-normal.
func ends(d, left time.Duration, spread float64) float64 {
	if left <= 0 {
		return 0
	}
	ratio := float64(left) / float64(max(d, time.Millisecond))
	switch {
	case ratio > certain:
		return 1
	case ratio < 1/certain:
		return 0
	}
	return 0.5 * math.Erfc(-math.Log(ratio)/spread/math.Sqrt2)
}

// certain is the ratio of the time that is left to the forecast beyond which
// the result is taken for certain: four standard deviations of a whole job's
// error, which spares most of the logarithms.
const certain = 3.3

// bestChance is the chance of the job's worst task on the target that suits it
// best, whether that has room or not.
func (s *Scheduler) bestChance(j *job) float64 {
	worst := 1.0
	for i, ts := range j.tasks {
		if !j.ready(i) {
			continue
		}
		best, base := 0.0, s.base(ts[0])
		for _, t := range s.order {
			if s.candidate(t, ts[0]) {
				best = max(best, s.chance(ts[0], base, t, 0))
			}
		}
		worst = min(worst, best)
	}
	return worst
}
