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
	queueWeight  = 0.02
	targetWeight = 0.1
	// minSamples is the number of samples for which early ones weigh more.
	minSamples = 5
	// maxError bounds the logarithm of one sample's error, so that one outlier
	// cannot decide.
	maxError = 1.5
	// unknownEstimate is the run time of a task that comes without an estimate
	// into a queue of which nothing is known.
	unknownEstimate = 200 * time.Millisecond
)

// Model forecasts run times. The zero value is not usable; see New.
type Model struct {
	queues  map[string]*average
	targets map[string]*average
	// mean is the average of the targets' logarithmic slowness, which keeps
	// it from drifting against the scale of the queues.
	mean average
}

type average struct {
	value   float64
	samples int
}

func (a *average) add(x, weight float64) {
	a.samples++
	a.value += max(weight, 1/float64(a.samples+minSamples)) * (x - a.value)
}

// New returns a Model that trusts the estimates and takes all targets to be
// equally fast.
func New() *Model {
	return &Model{queues: map[string]*average{}, targets: map[string]*average{}}
}

// Base forecasts the run time on a target of average speed.
func (m *Model) Base(queue string, estimate time.Duration) time.Duration {
	if estimate <= 0 {
		estimate = unknownEstimate
	}
	q := m.queues[queue]
	if q == nil {
		return estimate
	}
	return time.Duration(float64(estimate) * math.Exp(q.value))
}

// Slowness is the run time on the target relative to one of average speed.
func (m *Model) Slowness(target string) float64 {
	t := m.targets[target]
	if t == nil {
		return 1
	}
	return math.Exp(t.value - m.mean.value)
}

// Learn takes in the run time of a task that has ended well.
func (m *Model) Learn(queue, target string, estimate, took time.Duration) {
	if took <= 0 {
		return
	}
	if estimate <= 0 {
		estimate = unknownEstimate
	}
	q, t := m.queues[queue], m.targets[target]
	if q == nil {
		q = &average{}
		m.queues[queue] = q
	}
	if t == nil {
		t = &average{}
		m.targets[target] = t
	}
	ratio := math.Log(float64(took) / float64(estimate))
	slowness := t.value - m.mean.value
	t.add(t.value+clamp(ratio-q.value-slowness), targetWeight)
	m.mean.add(t.value, queueWeight)
	q.add(q.value+clamp(ratio-q.value-slowness), queueWeight)
}

// Forget drops what is known of a target, for example when it starts anew.
func (m *Model) Forget(target string) { delete(m.targets, target) }

func clamp(x float64) float64 { return min(max(x, -maxError), maxError) }
