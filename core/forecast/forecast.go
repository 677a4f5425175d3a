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
	Target  string
	RunTime time.Duration
}

// New returns a Model that trusts the estimates and takes all targets to be
// equally fast.
func New() *Model {
	return &Model{queues: map[string]*queue{}, targets: map[string]*speed{}}
}

// BaseRunTime forecasts the run time on a target of average speed.
func (m *Model) BaseRunTime(name string, estimate time.Duration) time.Duration {
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

// SlownessVariance is that of the logarithm of the target's slowness, beyond that of a
// target which is known well.
func (m *Model) SlownessVariance(target string) float64 {
	if t := m.targets[target]; t != nil {
		return t.variance - leastVariance
	}
	return speedVariance - leastVariance
}

// Learn takes in the runs of a step's tasks, of which the caller gave one
// estimate. The tasks take about equally long, so that their run times tell the
// targets apart, however far off the estimate is. The corrections of the targets
// add up to zero: compared in the order in which they ended, later runs would
// make all targets look slower and slower.
func (m *Model) Learn(name string, estimate time.Duration, runs []Sample) {
	x := math.Log(float64(known(estimate)))
	q := m.queues[name]
	if q == nil {
		q = &queue{meanX: x, meanY: x, varX: priorVariance, covariance: priorVariance}
		m.queues[name] = q
	}
	base := make([]float64, len(runs))
	mean := 0.0
	for i, r := range runs {
		base[i] = math.Log(float64(max(r.RunTime, time.Millisecond))) - (m.speed(r.Target).value - m.mean())
		mean += base[i] / float64(len(runs))
	}
	for i, r := range runs {
		off := bounded(base[i] - q.predict(x))
		if len(runs) > 1 {
			m.correct(m.speed(r.Target), bounded(base[i]-mean), siblingVariance)
		} else {
			m.correct(m.speed(r.Target), off, estimateVariance)
		}
		q.learn(x, q.predict(x)+off)
	}
}

// speed returns what is known of a target, which is the mean at first.
func (m *Model) speed(target string) *speed {
	t := m.targets[target]
	if t == nil {
		t = &speed{value: m.mean(), variance: speedVariance}
		m.targets[target] = t
		m.sum += t.value
	}
	return t
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
