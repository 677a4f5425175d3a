// Package forecast learns how long tasks run: how the callers' estimates of a
// queue relate to the real run times, and how fast each target is.
package forecast

import (
	"math"
	"time"
)

const (
	// queueWeight is the weight of one sample in the averages of a queue, which
	// are kept as logarithms.
	queueWeight = 0.01
	// priorSamples is the number of samples that the assumption is worth that
	// estimates are exact.
	priorSamples = 4
	// speedVariance is that of the logarithm of the targets' slowness before
	// anything is known of them: some are twice as slow as the others.
	speedVariance = 0.12
	// leastVariance keeps the slowness open to change: a target may turn slow.
	leastVariance = 0.02
	// estimateVariance and siblingVariance are those of the logarithm of a run
	// time beside the forecast from the caller's estimate, and beside the run
	// times of the other tasks of the step.
	estimateVariance = 0.2
	siblingVariance  = 0.05
	// priorVariance is the assumed variance of the logarithm of estimates.
	priorVariance = 0.1
	// maxError bounds the logarithm of one sample's error, so that one outlier
	// cannot decide.
	maxError = 1.5
	// unknownEstimate is the run time of a task that comes without an estimate
	// into a queue of which nothing is known.
	unknownEstimate = 200 * time.Millisecond
)

// Model forecasts run times. The zero value is not usable; see New.
type Model struct {
	queues  map[string]*queue
	targets map[string]*speed
	// sum is over the targets' values. Their mean is taken off, so that it
	// cannot drift against the run times of the queues.
	sum float64
}

// queue is a linear regression of the logarithm of run times on that of
// estimates. Estimates that tell little give a slope below 1, which draws the
// forecasts towards the queue's mean.
type queue struct {
	samples          int
	meanX, meanY     float64
	varX, covariance float64
}

// speed is the logarithm of a target's slowness, with its variance.
type speed struct{ value, variance float64 }

// Sample is the run time of a task that has ended well.
type Sample struct {
	Queue, Target string
	// Estimate is the caller's.
	Estimate time.Duration
	// Siblings is the mean run time, as on a target of average speed, of the
	// tasks of the same step that ended before; zero if none has.
	Siblings time.Duration
	Took     time.Duration
}

// New returns a Model that trusts the estimates and takes all targets to be
// equally fast.
func New() *Model {
	return &Model{queues: map[string]*queue{}, targets: map[string]*speed{}}
}

// Base forecasts the run time on a target of average speed.
func (m *Model) Base(name string, estimate time.Duration) time.Duration {
	estimate = known(estimate)
	q := m.queues[name]
	if q == nil {
		return estimate
	}
	return time.Duration(math.Exp(q.predict(math.Log(float64(estimate)))))
}

func known(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		return unknownEstimate
	}
	return estimate
}

func (q *queue) predict(x float64) float64 {
	slope := min(max(q.covariance/q.varX, 0), 1)
	return q.meanY + slope*(x-q.meanX)
}

func (q *queue) learn(x, y float64) {
	q.samples++
	w := weight(queueWeight, q.samples)
	dx, dy := x-q.meanX, y-q.meanY
	q.meanX += w * dx
	q.meanY += w * dy
	q.varX = (1 - w) * (q.varX + w*dx*dx)
	q.covariance = (1 - w) * (q.covariance + w*dx*dy)
}

// weight lets early samples weigh more.
func weight(least float64, samples int) float64 {
	return max(least, 1/float64(samples+priorSamples))
}

// Slowness is the run time on the target relative to one of average speed.
func (m *Model) Slowness(target string) float64 {
	t := m.targets[target]
	if t == nil {
		return 1
	}
	return math.Exp(t.value - m.mean())
}

func (m *Model) mean() float64 { return m.sum / float64(max(len(m.targets), 1)) }

// Variance is that of the logarithm of the target's slowness.
func (m *Model) Variance(target string) float64 {
	if t := m.targets[target]; t != nil {
		return t.variance
	}
	return speedVariance
}

// Learn takes in a sample.
func (m *Model) Learn(s Sample) {
	if s.Took <= 0 {
		return
	}
	x, y := math.Log(float64(known(s.Estimate))), math.Log(float64(s.Took))
	q, t := m.queues[s.Queue], m.targets[s.Target]
	if q == nil {
		q = &queue{meanX: x, meanY: x, varX: priorVariance, covariance: priorVariance}
		m.queues[s.Queue] = q
	}
	if t == nil {
		t = &speed{value: m.mean(), variance: speedVariance}
		m.targets[s.Target] = t
		m.sum += t.value
	}
	slowness := t.value - m.mean()
	off := bounded(y - q.predict(x) - slowness)
	if s.Siblings > 0 {
		m.correct(t, bounded(y-math.Log(float64(s.Siblings))-slowness), siblingVariance)
	} else {
		m.correct(t, off, estimateVariance)
	}
	q.learn(x, q.predict(x)+off)
}

// correct updates a target's slowness as a Kalman filter does, by an error of
// which the variance is known.
func (m *Model) correct(t *speed, off, variance float64) {
	gain := t.variance / (t.variance + variance)
	t.value += gain * off
	m.sum += gain * off
	t.variance = max(leastVariance, t.variance*(1-gain))
}

func bounded(off float64) float64 { return min(max(off, -maxError), maxError) }

// Forget drops what is known of a target, for example when it starts anew.
func (m *Model) Forget(target string) {
	if t := m.targets[target]; t != nil {
		m.sum -= t.value
		delete(m.targets, target)
	}
}
