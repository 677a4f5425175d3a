package soak

import (
	"fmt"
	"slices"
	"strings"
)

// maxDetails limits the number of violations that are described individually.
const maxDetails = 40

// Summary is the result of a soak run.
type Summary struct {
	Jobs, Starts int
	// DuplicateStarts counts attempts that started twice, second starts of tasks
	// of jobs that are not repeatable, and jobs started by two home instances.
	DuplicateStarts int
	// PartialResults counts complete answers without all results, and other answers
	// with results.
	PartialResults int
	// WrongAnswers counts answers with results of other tasks, answers that
	// contradict each other or the starts, starts with an unknown payload, and
	// rejections of valid requests.
	WrongAnswers int
	// FalseNotRun counts answers of state not_run to jobs that have a start.
	FalseNotRun int
	// Unknown counts jobs that have only answers of state unknown. Unanswered
	// counts jobs without an answer. Both are allowed.
	Unknown, Unanswered int
	// StopViolations counts starts at targets that had been leaving for longer
	// than allowed, and requests that a planned stop interrupted.
	StopViolations int
	// Answers counts jobs by the state and the reason code of their best answer.
	Answers map[string]int
	// Details describes the first violations and unanswered jobs.
	Details []string
}

// String returns the numbers of jobs, starts and violations other than
// StopViolations as one line.
func (s Summary) String() string {
	return fmt.Sprintf("soak: %d jobs, %d starts, %d started twice, %d partial, %d wrong answers, "+
		"%d false not-run, %d unknown, %d lost",
		s.Jobs, s.Starts, s.DuplicateStarts, s.PartialResults, s.WrongAnswers, s.FalseNotRun, s.Unknown, s.Unanswered)
}

// GuaranteeBroken reports whether the run violated a guarantee on starts or
// answers. It does not consider StopViolations.
func (s Summary) GuaranteeBroken() bool {
	return s.DuplicateStarts+s.PartialResults+s.WrongAnswers+s.FalseNotRun > 0
}

// addViolation increments count and describes the violation in Details.
func (s *Summary) addViolation(count *int, format string, args ...any) {
	*count++
	if len(s.Details) < maxDetails {
		s.Details = append(s.Details, fmt.Sprintf(format, args...))
	}
}

// verify compares the answers of the callers with the starts of the targets. It
// must run when no request is in flight any more.
func verify(records []*jobRecord, starts []taskStart) Summary {
	s := Summary{Jobs: len(records), Starts: len(starts), Answers: map[string]int{}}
	byJob := s.groupByJob(records, starts)
	s.checkAttempts(starts)
	for _, r := range records {
		s.checkJob(r, byJob[r.ID])
	}
	return s
}

// groupByJob groups the starts by the job that their mark identifies.
func (s *Summary) groupByJob(records []*jobRecord, starts []taskStart) map[int][]taskStart {
	recordsByID := make(map[int]*jobRecord, len(records))
	for _, r := range records {
		recordsByID[r.ID] = r
	}
	byJob := map[int][]taskStart{}
	for _, st := range starts {
		job, task, ok := parseTaskMark(st.Mark)
		if r := recordsByID[job]; !ok || r == nil || task != st.Task || task >= r.Tasks {
			s.addViolation(&s.WrongAnswers, "a start has the payload of another task: %+v", st)
			continue
		}
		byJob[job] = append(byJob[job], st)
	}
	return byJob
}

// checkAttempts checks that no attempt of a task started twice.
func (s *Summary) checkAttempts(starts []taskStart) {
	type attempt struct {
		job          string
		task, number int
	}
	seen := make(map[attempt]taskStart, len(starts))
	for _, st := range starts {
		k := attempt{st.Job, st.Task, st.Attempt}
		if first, ok := seen[k]; ok {
			s.addViolation(&s.DuplicateStarts, "one attempt started twice: %+v and %+v", first, st)
		}
		seen[k] = st
	}
}

func (s *Summary) checkJob(r *jobRecord, starts []taskStart) {
	s.checkSingleHome(r, starts)
	s.checkAtMostOnce(r, starts)
	for _, a := range r.answers {
		s.checkAnswer(r, a, starts)
	}
	s.checkAgreement(r)
	for _, text := range r.rejections {
		s.addViolation(&s.WrongAnswers, "job %d was rejected: %s", r.ID, text)
	}
	best := r.bestAnswer()
	s.Answers[strings.Trim(best.State+"/"+best.Code, "/")]++
	switch best.State {
	case stateUnknown:
		s.Unknown++
	case "":
		s.addViolation(&s.Unanswered, "job %d has no answer; last error: %s", r.ID, r.lastError)
	}
}

// checkSingleHome checks that all starts of a job have the same job name, which
// contains the incarnation of the home instance.
func (s *Summary) checkSingleHome(r *jobRecord, starts []taskStart) {
	for _, st := range starts {
		if st.Job != starts[0].Job {
			s.addViolation(&s.DuplicateStarts, "job %d was started under two names: %+v and %+v", r.ID, starts[0], st)
			return
		}
	}
}

// checkAtMostOnce checks that no task of a job that is not repeatable started
// twice.
func (s *Summary) checkAtMostOnce(r *jobRecord, starts []taskStart) {
	if r.Repeatable {
		return
	}
	seen := map[int]taskStart{}
	for _, st := range starts {
		if first, ok := seen[st.Task]; ok {
			s.addViolation(&s.DuplicateStarts, "job %d is not repeatable: %+v and %+v", r.ID, first, st)
		}
		seen[st.Task] = st
	}
}

func (s *Summary) checkAnswer(r *jobRecord, a jobAnswer, starts []taskStart) {
	switch a.State {
	case stateComplete:
		s.checkComplete(r, a, starts)
		return
	case stateNotRun:
		if len(starts) > 0 {
			s.addViolation(&s.FalseNotRun, "job %d was answered not_run (%s) by %s and has %d starts, first %+v",
				r.ID, a.Code, a.Instance, len(starts), starts[0])
		}
	case stateFailed, stateUnknown:
	default:
		s.addViolation(&s.WrongAnswers, "job %d was answered with state %q by %s", r.ID, a.State, a.Instance)
	}
	if len(a.Results) > 0 {
		s.addViolation(&s.PartialResults, "job %d was answered %s with %d results by %s", r.ID, a.State, len(a.Results), a.Instance)
	}
}

// checkComplete checks an answer of state complete against the job and its
// starts.
func (s *Summary) checkComplete(r *jobRecord, a jobAnswer, starts []taskStart) {
	if len(a.Results) != r.Tasks {
		s.addViolation(&s.PartialResults, "job %d of %d tasks was answered with %d results by %s", r.ID, r.Tasks, len(a.Results), a.Instance)
		return
	}
	for i, result := range a.Results {
		if string(result) != taskMark(r.ID, i) {
			s.addViolation(&s.WrongAnswers, "job %d task %d was answered with %.80q by %s", r.ID, i, result, a.Instance)
			return
		}
		if !slices.ContainsFunc(starts, func(st taskStart) bool { return st.Task == i }) {
			s.addViolation(&s.WrongAnswers, "job %d task %d has a result from %s and no start", r.ID, i, a.Instance)
			return
		}
	}
	if r.HasFailingTask {
		s.addViolation(&s.WrongAnswers, "job %d has a failing task and was answered complete by %s", r.ID, a.Instance)
	}
	if len(starts) > a.Starts {
		s.addViolation(&s.WrongAnswers, "job %d has %d starts, but its answer reports %d", r.ID, len(starts), a.Starts)
	}
}

// checkAgreement checks that all answers of a job other than unknown have the
// same state and code.
func (s *Summary) checkAgreement(r *jobRecord) {
	var first *jobAnswer
	for i, a := range r.answers {
		if a.State == stateUnknown {
			continue
		}
		if first == nil {
			first = &r.answers[i]
		}
		if a.State != first.State || a.Code != first.Code {
			s.addViolation(&s.WrongAnswers, "job %d was answered %s (%s) by %s and %s (%s) by %s",
				r.ID, first.State, first.Code, first.Instance, a.State, a.Code, a.Instance)
			return
		}
	}
}
