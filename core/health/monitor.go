// Package health decides which targets get work: it ejects those that fail
// and lets them return through single probes.
package health

import (
	"slices"
	"time"
)

// The limits on a target's outstanding attempts.
const (
	// Unlimited is that of a healthy target.
	Unlimited = -1
	// OneAtATime is that of a target whose last attempt failed. A target that
	// fails fast looks idle, and would otherwise draw work until it is ejected.
	OneAtATime = 1
	// Excluded is that of an ejected target.
	Excluded = 0
)

const (
	ejectFailures = 3
	ejectJobs     = 2
	// strictFailures in a row are needed beyond the threshold. They tell targets
	// that fail everything, which must be ejected however many they are, from
	// targets that fail now and then, of which the last ones must not be.
	strictFailures = 8
	faultTargets   = 2
	firstProbe     = time.Second
	lastProbe      = 30 * time.Second
	// probePace is the time between probes of any targets until one succeeds,
	// so that a fault of many targets does not cost a task for each of them.
	probePace = time.Second
	// ejectedTogether is the time within which targets are ejected together.
	ejectedTogether = 2 * time.Second
	// servesWell is how recent a success makes a target count as serving
	// other jobs well.
	servesWell = 10 * time.Second
	// suspectFor is how long a failure limits a target to one attempt.
	suspectFor = time.Second
	// failsTogether is the time within which failures of two jobs are taken to
	// have one cause.
	failsTogether = time.Second
	// anyProbeAfter is the time without repeatable work after which a task
	// that is not repeatable may be the probe.
	anyProbeAfter = 10 * time.Second
	// maxJobs bounds the jobs with failures that are remembered.
	maxJobs = 4096
)

// Config sets the threshold.
type Config struct {
	// EjectionThreshold is the share of ejected targets, 0 to 1, above which a further
	// one is ejected only after strictFailures; 0 turns it off.
	EjectionThreshold float64
}

// target is the health of one target.
type target struct {
	// failures are the jobs of the failures in a row, newest last.
	failures    []uint64
	failedAt    time.Time
	relaxed     bool
	lastSuccess time.Time
	lastJob     uint64
	ejected     bool
	ejectedAt   time.Time
	probing     bool
	interval    time.Duration
	probeAt     time.Time
}

// Monitor judges targets by the ends of attempts. It is not safe for
// concurrent use.
type Monitor struct {
	cfg     Config
	targets map[string]*target
	// ejected lists the ejected targets, in the order of ejection.
	ejected []string
	// suspects lists targets that failed since their last success.
	suspects   []string
	population int
	// jobs holds the targets on which a job has failed, without success.
	jobs   map[uint64][]string
	order  []uint64
	faulty map[uint64]bool
	// pacedUntil is the earliest time of the next probe of any target.
	pacedUntil time.Time
	// recent are the last two jobs that failed, with their times, newest first.
	recent [2]jobFailure
}

type jobFailure struct {
	job uint64
	at  time.Time
}

// New returns a Monitor to which all targets look healthy.
func New(cfg Config) *Monitor {
	return &Monitor{
		cfg:     cfg,
		targets: make(map[string]*target),
		jobs:    make(map[uint64][]string),
		faulty:  make(map[uint64]bool),
	}
}

// SetTargets sets the targets that serve; the others are forgotten. The
// threshold counts the population, those that the instance uses regularly.
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

// RecordSuccess notes that a target did a task of the job. An attempt that was sent
// before the target's last failure says nothing about it since.
func (m *Monitor) RecordSuccess(now, sent time.Time, name string, job uint64) {
	t := m.target(name)
	if sent.Before(t.failedAt) {
		return
	}
	t.failures = t.failures[:0]
	t.lastSuccess, t.lastJob = now, job
	t.probing = false
	if t.ejected {
		t.ejected, t.interval = false, 0
		m.ejected = slices.DeleteFunc(m.ejected, func(n string) bool { return n == name })
		m.probeTogether(now, t)
	}
}

// probeTogether makes the targets due that were ejected at about the same
// time as one that has returned, because they may have had the same fault.
func (m *Monitor) probeTogether(now time.Time, back *target) {
	m.pacedUntil = time.Time{}
	for _, n := range m.ejected {
		t := m.targets[n]
		if d := t.ejectedAt.Sub(back.ejectedAt).Abs(); d <= ejectedTogether && now.Before(t.probeAt) {
			t.probeAt = now
		}
	}
}

// RecordFailure notes that an attempt of the job on a target failed, and reports
// whether the job itself is considered the cause.
func (m *Monitor) RecordFailure(now time.Time, name string, job uint64) (jobAtFault bool) {
	t := m.target(name)
	if t.ejected {
		m.failProbe(now, t)
		return false
	}
	if m.noteJob(now, name, job) {
		return true
	}
	t.failedAt, t.relaxed = now, false
	if !slices.Contains(m.suspects, name) {
		m.suspects = append(m.suspects, name)
	}
	t.failures = append(t.failures, job)
	if len(t.failures) > strictFailures {
		t.failures = slices.Delete(t.failures, 0, 1)
	}
	if m.shouldEject(t) && (m.mayEject() || len(t.failures) >= strictFailures) {
		t.ejected, t.ejectedAt, t.interval = true, now, firstProbe
		t.probeAt = now.Add(firstProbe)
		m.ejected = append(m.ejected, name)
	}
	return false
}

func (m *Monitor) shouldEject(t *target) bool {
	if len(t.failures) < ejectFailures {
		return false
	}
	jobs := slices.Clone(t.failures)
	slices.Sort(jobs)
	return len(slices.Compact(jobs)) >= ejectJobs
}

func (m *Monitor) mayEject() bool {
	if m.cfg.EjectionThreshold <= 0 || m.population == 0 {
		return true
	}
	return float64(len(m.ejected)+1) <= m.cfg.EjectionThreshold*float64(m.population)
}

// failProbe doubles the interval after a failed probe. Failures of attempts
// that were sent before the ejection change nothing.
func (m *Monitor) failProbe(now time.Time, t *target) {
	if !t.probing {
		return
	}
	t.probing = false
	t.interval = min(2*t.interval, lastProbe)
	t.probeAt = now.Add(t.interval)
}

// noteJob applies the rule that a job that fails on two targets that serve
// other jobs well is itself the cause, and counts against no target.
func (m *Monitor) noteJob(now time.Time, name string, job uint64) bool {
	if m.faulty[job] {
		return true
	}
	if _, known := m.jobs[job]; !known {
		m.order = append(m.order, job)
		m.forgetOldest()
	}
	if !slices.Contains(m.jobs[job], name) {
		m.jobs[job] = append(m.jobs[job], name)
	}
	if m.recent[0].job != job || m.recent[0].at.IsZero() {
		m.recent[1] = m.recent[0]
	}
	m.recent[0] = jobFailure{job, now}
	// Where other jobs fail as well, the targets are the likelier cause.
	if o := m.recent[1]; !o.at.IsZero() && now.Sub(o.at) < failsTogether {
		return false
	}
	well := 0
	for _, n := range m.jobs[job] {
		if m.servesOthers(now, n, job) {
			well++
		}
	}
	if well < faultTargets {
		return false
	}
	m.faulty[job] = true
	for _, n := range m.jobs[job] {
		t := m.target(n)
		t.failures = slices.DeleteFunc(t.failures, func(j uint64) bool { return j == job })
	}
	return true
}

// servesOthers says whether a target had a recent success with another job
// and no failure of another job since.
func (m *Monitor) servesOthers(now time.Time, name string, job uint64) bool {
	t := m.target(name)
	if t.ejected || t.lastSuccess.IsZero() || t.lastJob == job || now.Sub(t.lastSuccess) > servesWell {
		return false
	}
	return !slices.ContainsFunc(t.failures, func(j uint64) bool { return j != job })
}

func (m *Monitor) forgetOldest() {
	if len(m.order) > maxJobs {
		m.ForgetJob(m.order[0])
		m.order = m.order[1:]
	}
}

// ForgetJob drops what is kept of a job.
func (m *Monitor) ForgetJob(job uint64) {
	delete(m.jobs, job)
	delete(m.faulty, job)
}

// Limit returns how many attempts may be outstanding on a target.
func (m *Monitor) Limit(name string) int {
	t := m.targets[name]
	switch {
	case t != nil && t.ejected:
		return Excluded
	case t == nil, t.relaxed, len(t.failures) == 0:
		return Unlimited
	default:
		return OneAtATime
	}
}

// LiftExpiredLimits returns the targets whose limit of one attempt has ended, because
// nothing failed since or the failures were a job's own. Without it a target could wait for ever for a success
// where only tasks exist that avoid targets with failures.
func (m *Monitor) LiftExpiredLimits(now time.Time) []string {
	var relaxed []string
	m.suspects = slices.DeleteFunc(m.suspects, func(n string) bool {
		t := m.targets[n]
		switch {
		case t == nil || t.ejected:
			return true
		case len(t.failures) == 0:
			// A success, or a job found at fault, has ended the limit.
			relaxed = append(relaxed, n)
			return true
		}
		if now.Sub(t.failedAt) < suspectFor {
			return false
		}
		t.relaxed = true
		relaxed = append(relaxed, n)
		return true
	})
	return relaxed
}

// Ejected returns the ejected targets.
func (m *Monitor) Ejected() []string { return m.ejected }

// ProbeDue says whether an ejected target is to be probed with a task.
func (m *Monitor) ProbeDue(now time.Time, name string, repeatable bool) bool {
	t := m.targets[name]
	if t == nil || !t.ejected || t.probing || now.Before(m.pacedUntil) {
		return false
	}
	if !repeatable {
		return !now.Before(t.probeAt.Add(anyProbeAfter))
	}
	return !now.Before(t.probeAt)
}

// StartProbe notes that a probe is sent to a target.
func (m *Monitor) StartProbe(now time.Time, name string) {
	if t := m.targets[name]; t != nil {
		t.probing = true
		m.pacedUntil = now.Add(probePace)
	}
}

// CancelProbe notes that the probe's attempt ended without saying anything
// about the target.
func (m *Monitor) CancelProbe(name string) {
	if t := m.targets[name]; t != nil {
		t.probing = false
	}
}

// NextProbeTime returns when the next probe is due, or the zero time.
func (m *Monitor) NextProbeTime() time.Time {
	var next time.Time
	for _, n := range m.ejected {
		t := m.targets[n]
		if !t.probing && (next.IsZero() || t.probeAt.Before(next)) {
			next = t.probeAt
		}
	}
	if !next.IsZero() && next.Before(m.pacedUntil) {
		return m.pacedUntil
	}
	return next
}
