// Package forecast learns how long tasks run: how the callers' estimates of a
// queue relate to the real run times, and how fast each target is.
package forecast

import (
	"math"
	"time"
)

const (
	// queueWeight and targetWeight are the weights of one sample in the
	// averages, which are kept as logarithms.
	queueWeight  = 0.01
	targetWeight = 0.1
	// priorSamples is the number of samples that the assumption is worth that
	// estimates are exact and targets equally fast.
	priorSamples = 4
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

// speed is the logarithm of a target's slowness.
type speed struct {
	value   float64
	samples int
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

// Learn takes in the run time of a task that has ended well.
func (m *Model) Learn(name, target string, estimate, took time.Duration) {
	if took <= 0 {
		return
	}
	x, y := math.Log(float64(known(estimate))), math.Log(float64(took))
	q, t := m.queues[name], m.targets[target]
	if q == nil {
		q = &queue{meanX: x, meanY: x, varX: priorVariance, covariance: priorVariance}
		m.queues[name] = q
	}
	if t == nil {
		t = &speed{value: m.mean()}
		m.targets[target] = t
		m.sum += t.value
	}
	slowness := t.value - m.mean()
	off := y - q.predict(x) - slowness
	off = min(max(off, -maxError), maxError)
	t.samples++
	change := weight(targetWeight, t.samples) * off
	t.value += change
	m.sum += change
	q.learn(x, q.predict(x)+off)
}

// Forget drops what is known of a target, for example when it starts anew.
func (m *Model) Forget(target string) {
	if t := m.targets[target]; t != nil {
		m.sum -= t.value
		delete(m.targets, target)
	}
}
