// Package forecast predicts the run times of tasks. It learns how the callers'
// estimates of a queue relate to the measured run times, and how fast each target
// is.
package forecast

import (
	"math"
	"time"
)

const (
	// minSampleWeight is the weight of one sample in the exponential moving
	// averages of a queue. The averages are taken over logarithms.
	minSampleWeight = 0.01
	// priorSamples is the weight, as a number of samples, of the initial
	// assumption that estimates are exact.
	priorSamples = 4
	// priorSlownessVariance is the variance of the logarithm of a target's
	// slowness without samples. It allows for targets that are twice as slow as
	// others.
	priorSlownessVariance = 0.12
	// minVariance is the lower bound of a target's variance. It keeps the
	// slowness adaptable, because a target may become slow.
	minVariance = 0.02
	// estimateVariance is the variance of the logarithm of a run time relative
	// to the forecast from the caller's estimate. siblingVariance is that
	// relative to the run times of the other tasks of the step.
	estimateVariance = 0.2
	siblingVariance  = 0.05
	// priorEstimateVariance is the initial variance of the logarithm of the
	// estimates of a queue.
	priorEstimateVariance = 0.1
	// maxLogError bounds the logarithm of one sample's error, to limit the
	// effect of outliers.
	maxLogError = 1.5
	// defaultEstimate is used for tasks without an estimate.
	defaultEstimate = 200 * time.Millisecond
)

// Model forecasts run times. The zero value is not usable; see New. A Model is not
// safe for concurrent use.
type Model struct {
	queues  map[string]*regression
	targets map[string]*slowness
	// sumLogSlowness is the sum of logValue over the targets. The mean is
	// subtracted from each target's value, so that the values cannot drift
	// against the run times of the queues.
	sumLogSlowness float64
}

// regression is the linear regression of the logarithm of a queue's run times on
// the logarithm of their estimates. Inaccurate estimates give a slope below 1,
// which moves the forecasts towards the mean of the queue.
type regression struct {
	samples          int
	meanX, meanY     float64
	varX, covariance float64
}

// slowness is the estimated logarithm of a target's slowness and its variance.
type slowness struct{ logValue, variance float64 }

// Sample is the run time of a task that has succeeded.
type Sample struct {
	Target  string
	RunTime time.Duration
}

// New returns a Model that assumes exact estimates and equally fast targets.
func New() *Model {
	return &Model{queues: map[string]*regression{}, targets: map[string]*slowness{}}
}

// BaseRunTime forecasts the run time of a queue's task on a target of average
// speed. An estimate of 0 means that there is none.
func (m *Model) BaseRunTime(queue string, estimate time.Duration) time.Duration {
	estimate = estimateOrDefault(estimate)
	q := m.queues[queue]
	if q == nil {
		return estimate
	}
	return time.Duration(math.Exp(q.predict(math.Log(float64(estimate)))))
}

func estimateOrDefault(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		return defaultEstimate
	}
	return estimate
}

func (r *regression) predict(x float64) float64 {
	slope := min(max(r.covariance/r.varX, 0), 1)
	return r.meanY + slope*(x-r.meanX)
}

func (r *regression) learn(x, y float64) {
	r.samples++
	w := weight(minSampleWeight, r.samples)
	dx, dy := x-r.meanX, y-r.meanY
	r.meanX += w * dx
	r.meanY += w * dy
	r.varX = (1 - w) * (r.varX + w*dx*dx)
	r.covariance = (1 - w) * (r.covariance + w*dx*dy)
}

// weight returns the weight of the next sample. Early samples have more weight.
func weight(minWeight float64, samples int) float64 {
	return max(minWeight, 1/float64(samples+priorSamples))
}

// Slowness returns the forecast run time on a target relative to a target of
// average speed. It is 1 for an unknown target.
func (m *Model) Slowness(target string) float64 {
	t := m.targets[target]
	if t == nil {
		return 1
	}
	return math.Exp(t.logValue - m.meanLogSlowness())
}

func (m *Model) meanLogSlowness() float64 { return m.sumLogSlowness / float64(max(len(m.targets), 1)) }

// SlownessVariance returns the variance of the logarithm of a target's slowness,
// minus that of a target with many samples.
func (m *Model) SlownessVariance(target string) float64 {
	if t := m.targets[target]; t != nil {
		return t.variance - minVariance
	}
	return priorSlownessVariance - minVariance
}

// Learn updates the model with the run times of one step's tasks, which share one
// estimate. The tasks have similar run times, so that their differences show the
// speeds of the targets even if the estimate is wrong. Each sample is compared
// with the mean of the step, so that the corrections of the targets add up to
// zero. Processing samples one by one in the order of completion would make all
// targets appear slower over time.
func (m *Model) Learn(queue string, estimate time.Duration, samples []Sample) {
	x := math.Log(float64(estimateOrDefault(estimate)))
	q := m.queues[queue]
	if q == nil {
		q = &regression{meanX: x, meanY: x, varX: priorEstimateVariance, covariance: priorEstimateVariance}
		m.queues[queue] = q
	}
	base := make([]float64, len(samples))
	mean := 0.0
	for i, sample := range samples {
		base[i] = math.Log(float64(max(sample.RunTime, time.Millisecond))) - (m.slownessOf(sample.Target).logValue - m.meanLogSlowness())
		mean += base[i] / float64(len(samples))
	}
	for i, sample := range samples {
		logError := clampLogError(base[i] - q.predict(x))
		if len(samples) > 1 {
			m.correct(m.slownessOf(sample.Target), clampLogError(base[i]-mean), siblingVariance)
		} else {
			m.correct(m.slownessOf(sample.Target), logError, estimateVariance)
		}
		q.learn(x, q.predict(x)+logError)
	}
}

// slownessOf returns the slowness of a target, which is initially the mean.
func (m *Model) slownessOf(target string) *slowness {
	t := m.targets[target]
	if t == nil {
		t = &slowness{logValue: m.meanLogSlowness(), variance: priorSlownessVariance}
		m.targets[target] = t
		m.sumLogSlowness += t.logValue
	}
	return t
}

// correct updates a target's slowness with a Kalman filter step for an error of
// the given variance.
func (m *Model) correct(t *slowness, logError, variance float64) {
	gain := t.variance / (t.variance + variance)
	t.logValue += gain * logError
	m.sumLogSlowness += gain * logError
	t.variance = max(minVariance, t.variance*(1-gain))
}

func clampLogError(logError float64) float64 { return min(max(logError, -maxLogError), maxLogError) }

// Forget drops the slowness of a target, for example after it has restarted.
func (m *Model) Forget(target string) {
	if t := m.targets[target]; t != nil {
		m.sumLogSlowness -= t.logValue
		delete(m.targets, target)
	}
}
