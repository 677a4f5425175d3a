// Package health tracks the health of targets. It ejects targets that fail
// repeatedly and returns them to service after a successful probe with one task.
package health

import (
	"slices"
	"time"
)

// The limits on the attempts in flight on a target.
const (
	// Unlimited is the limit of a healthy target.
	Unlimited = -1
	// OneAtATime is the limit of a target whose last attempt failed. A target
	// that fails fast looks idle and would otherwise attract more and more work
	// until it is ejected.
	OneAtATime = 1
	// Excluded is the limit of an ejected target.
	Excluded = 0
)

const (
	// minEjectFailures is the number of consecutive failures, and minEjectJobs
	// the number of different jobs among them, that eject a target.
	minEjectFailures = 3
	minEjectJobs     = 2
	// strictEjectFailures is the number of consecutive failures that ejects a
	// target when the share of ejected targets exceeds the threshold. A target
	// that fails every task must be ejected however many others are. A target
	// that fails only some tasks stays in service then, because otherwise no
	// target might be left.
	strictEjectFailures = 8
	// minFaultTargets is the number of healthy targets on which a job must fail
	// to be considered the cause of its failures.
	minFaultTargets  = 2
	minProbeInterval = time.Second
	maxProbeInterval = 30 * time.Second
	// probeSpacing is the minimum time between two probes, whatever their targets,
	// until one succeeds. Without it, a fault that many targets share would cost
	// one task per target.
	probeSpacing = time.Second
	// commonEjectionWindow is the maximum time between two ejections that are
	// assumed to have the same cause.
	commonEjectionWindow = 2 * time.Second
	// recentSuccessWindow is the maximum age of the last success of a target that
	// counts as serving other jobs.
	recentSuccessWindow = 10 * time.Second
	// suspectDuration is how long a failure limits a target to one attempt.
	suspectDuration = time.Second
	// commonCauseWindow is the time within which failures of two jobs are assumed
	// to have a common cause.
	commonCauseWindow = time.Second
	// nonRepeatableProbeDelay is how long a due probe waits for a repeatable task
	// before a task that is not repeatable may be used.
	nonRepeatableProbeDelay = 10 * time.Second
	// maxTrackedJobs bounds the number of failed jobs for which state is kept.
	maxTrackedJobs = 4096
)

// Config configures a Monitor.
type Config struct {
	// EjectionThreshold is the share of ejected targets, 0 to 1, above which
	// another target is ejected only after strictEjectFailures consecutive
	// failures; 0 turns it off.
	EjectionThreshold float64
}

// target holds the health of one target.
type target struct {
	// failures holds the jobs of the consecutive failures, newest last.
	failures []uint64
	failedAt time.Time
	// limitLifted reports that the limit of one attempt has ended although no
	// task has succeeded since the last failure.
	limitLifted bool
	// lastSuccess is the time of the last success, lastJob its job.
	lastSuccess time.Time
	lastJob     uint64
	ejected     bool
	ejectedAt   time.Time
	// probing reports that a probe is in flight. The next one is due at probeAt.
	probing       bool
	probeInterval time.Duration
	probeAt       time.Time
}

// Monitor derives the health of targets from the outcomes of attempts. It is
// not safe for concurrent use.
type Monitor struct {
	cfg     Config
	targets map[string]*target
	// ejected lists the ejected targets in the order of ejection.
	ejected []string
	// suspects lists the targets that have failed and whose limit of one attempt
	// LiftExpiredLimits has not yet lifted.
	suspects []string
	// population is the number of targets to which the threshold applies.
	population int
	// failedTargets holds, for each job, the targets on which it has failed.
	// jobOrder lists these jobs, oldest first.
	failedTargets map[uint64][]string
	jobOrder      []uint64
	// faultyJobs holds the jobs that are considered the cause of their failures.
	faultyJobs map[uint64]bool
	// noProbeBefore is the earliest time of the next probe, whatever its target.
	noProbeBefore time.Time
	// recentFailures holds the last two different jobs that failed, newest first.
	recentFailures [2]jobFailure
}

type jobFailure struct {
	job uint64
	at  time.Time
}

// New returns a Monitor that assumes all targets are healthy.
func New(cfg Config) *Monitor {
	return &Monitor{
		cfg:           cfg,
		targets:       make(map[string]*target),
		failedTargets: make(map[uint64][]string),
		faultyJobs:    make(map[uint64]bool),
	}
}

// SetTargets sets the targets in service and drops the state of all others. The
// ejection threshold is a share of population, the number of targets that this
// instance uses regularly.
func (m *Monitor) SetTargets(names []string, population int) {
	m.population = population
	keep := make(map[string]bool, len(names))
	for _, n := range names {
		keep[n] = true
	}
	for n := range m.targets {
		if !keep[n] {
			delete(m.targets, n)
		}
	}
	m.ejected = slices.DeleteFunc(m.ejected, func(n string) bool { return !keep[n] })
}

func (m *Monitor) target(name string) *target {
	t := m.targets[name]
	if t == nil {
		t = &target{}
		m.targets[name] = t
	}
	return t
}

// RecordSuccess records that a target completed a task of the job. It ignores an
// attempt that was sent before the target's last failure, because such an
// attempt does not show that the target has recovered.
func (m *Monitor) RecordSuccess(now, sent time.Time, name string, job uint64) {
	t := m.target(name)
	if sent.Before(t.failedAt) {
		return
	}
	t.failures = t.failures[:0]
	t.lastSuccess, t.lastJob = now, job
	t.probing = false
	if t.ejected {
		t.ejected, t.probeInterval = false, 0
		m.ejected = slices.DeleteFunc(m.ejected, func(n string) bool { return n == name })
		m.probeRelatedTargets(now, t)
	}
}

// probeRelatedTargets makes probes due on the targets that were ejected at about
// the same time as a recovered one, because the cause may have been the same.
func (m *Monitor) probeRelatedTargets(now time.Time, recovered *target) {
	m.noProbeBefore = time.Time{}
	for _, n := range m.ejected {
		t := m.targets[n]
		if d := t.ejectedAt.Sub(recovered.ejectedAt).Abs(); d <= commonEjectionWindow && now.Before(t.probeAt) {
			t.probeAt = now
		}
	}
}

// RecordFailure records that an attempt of the job failed on a target, and
// reports whether the job itself is considered the cause.
func (m *Monitor) RecordFailure(now time.Time, name string, job uint64) (jobAtFault bool) {
	t := m.target(name)
	if t.ejected {
		m.recordProbeFailure(now, t)
		return false
	}
	if m.recordJobFailure(now, name, job) {
		return true
	}
	t.failedAt, t.limitLifted = now, false
	if !slices.Contains(m.suspects, name) {
		m.suspects = append(m.suspects, name)
	}
	t.failures = append(t.failures, job)
	if len(t.failures) > strictEjectFailures {
		t.failures = slices.Delete(t.failures, 0, 1)
	}
	if m.shouldEject(t) && (m.mayEject() || len(t.failures) >= strictEjectFailures) {
		t.ejected, t.ejectedAt, t.probeInterval = true, now, minProbeInterval
		t.probeAt = now.Add(minProbeInterval)
		m.ejected = append(m.ejected, name)
	}
	return false
}

func (m *Monitor) shouldEject(t *target) bool {
	if len(t.failures) < minEjectFailures {
		return false
	}
	jobs := slices.Clone(t.failures)
	slices.Sort(jobs)
	return len(slices.Compact(jobs)) >= minEjectJobs
}

func (m *Monitor) mayEject() bool {
	if m.cfg.EjectionThreshold <= 0 || m.population == 0 {
		return true
	}
	return float64(len(m.ejected)+1) <= m.cfg.EjectionThreshold*float64(m.population)
}

// recordProbeFailure doubles the probe interval after a failed probe. It ignores
// failures of attempts that were sent before the ejection.
func (m *Monitor) recordProbeFailure(now time.Time, t *target) {
	if !t.probing {
		return
	}
	t.probing = false
	t.probeInterval = min(2*t.probeInterval, maxProbeInterval)
	t.probeAt = now.Add(t.probeInterval)
}

// recordJobFailure records a failure of the job on a target and reports whether
// the job is the cause. A job is the cause once it has failed on minFaultTargets
// targets that serve other jobs; its failures then count against no target.
func (m *Monitor) recordJobFailure(now time.Time, name string, job uint64) bool {
	if m.faultyJobs[job] {
		return true
	}
	if _, known := m.failedTargets[job]; !known {
		m.jobOrder = append(m.jobOrder, job)
		m.evictOldestJob()
	}
	if !slices.Contains(m.failedTargets[job], name) {
		m.failedTargets[job] = append(m.failedTargets[job], name)
	}
	if m.recentFailures[0].job != job || m.recentFailures[0].at.IsZero() {
		m.recentFailures[1] = m.recentFailures[0]
	}
	m.recentFailures[0] = jobFailure{job, now}
	// If another job failed recently too, the targets are the likelier cause.
	if o := m.recentFailures[1]; !o.at.IsZero() && now.Sub(o.at) < commonCauseWindow {
		return false
	}
	healthy := 0
	for _, n := range m.failedTargets[job] {
		if m.servesOtherJobs(now, n, job) {
			healthy++
		}
	}
	if healthy < minFaultTargets {
		return false
	}
	m.faultyJobs[job] = true
	for _, n := range m.failedTargets[job] {
		t := m.target(n)
		t.failures = slices.DeleteFunc(t.failures, func(j uint64) bool { return j == job })
	}
	return true
}

// servesOtherJobs reports whether a target recently completed a task of another
// job and has had no failure of another job since.
func (m *Monitor) servesOtherJobs(now time.Time, name string, job uint64) bool {
	t := m.target(name)
	if t.ejected || t.lastSuccess.IsZero() || t.lastJob == job || now.Sub(t.lastSuccess) > recentSuccessWindow {
		return false
	}
	return !slices.ContainsFunc(t.failures, func(j uint64) bool { return j != job })
}

func (m *Monitor) evictOldestJob() {
	if len(m.jobOrder) > maxTrackedJobs {
		m.ForgetJob(m.jobOrder[0])
		m.jobOrder = m.jobOrder[1:]
	}
}

// ForgetJob drops the recorded failures of a job.
func (m *Monitor) ForgetJob(job uint64) {
	delete(m.failedTargets, job)
	delete(m.faultyJobs, job)
}

// Limit returns the maximum number of attempts in flight on a target.
func (m *Monitor) Limit(name string) int {
	t := m.targets[name]
	switch {
	case t != nil && t.ejected:
		return Excluded
	case t == nil, t.limitLifted, len(t.failures) == 0:
		return Unlimited
	default:
		return OneAtATime
	}
}

// LiftExpiredLimits lifts the limit of one attempt where it has ended, and
// returns the targets concerned. The limit ends after suspectDuration without a
// further failure, after a success, or if a job is found to be the cause of the
// failures. Without the timeout, a target would stay limited forever if only
// tasks exist that avoid targets with failures.
func (m *Monitor) LiftExpiredLimits(now time.Time) []string {
	var lifted []string
	m.suspects = slices.DeleteFunc(m.suspects, func(n string) bool {
		t := m.targets[n]
		switch {
		case t == nil || t.ejected:
			return true
		case len(t.failures) == 0:
			// The target has completed a task since, or its failures were
			// attributed to a job.
			lifted = append(lifted, n)
			return true
		}
		if now.Sub(t.failedAt) < suspectDuration {
			return false
		}
		t.limitLifted = true
		lifted = append(lifted, n)
		return true
	})
	return lifted
}

// Ejected returns the ejected targets.
func (m *Monitor) Ejected() []string { return m.ejected }

// ProbeDue reports whether a task may be sent to an ejected target as a probe.
func (m *Monitor) ProbeDue(now time.Time, name string, repeatable bool) bool {
	t := m.targets[name]
	if t == nil || !t.ejected || t.probing || now.Before(m.noProbeBefore) {
		return false
	}
	if !repeatable {
		return !now.Before(t.probeAt.Add(nonRepeatableProbeDelay))
	}
	return !now.Before(t.probeAt)
}

// StartProbe records that a probe is sent to a target.
func (m *Monitor) StartProbe(now time.Time, name string) {
	if t := m.targets[name]; t != nil {
		t.probing = true
		m.noProbeBefore = now.Add(probeSpacing)
	}
}

// CancelProbe records that a probe ended without showing whether the target is
// healthy. It does nothing if no probe is in flight on the target.
func (m *Monitor) CancelProbe(name string) {
	if t := m.targets[name]; t != nil {
		t.probing = false
	}
}

// NextProbeTime returns when the next probe is due, or the zero time if none is.
func (m *Monitor) NextProbeTime() time.Time {
	var next time.Time
	for _, n := range m.ejected {
		t := m.targets[n]
		if !t.probing && (next.IsZero() || t.probeAt.Before(next)) {
			next = t.probeAt
		}
	}
	if !next.IsZero() && next.Before(m.noProbeBefore) {
		return m.noProbeBefore
	}
	return next
}
