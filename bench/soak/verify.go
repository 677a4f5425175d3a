package soak

import (
	"fmt"
	"slices"
	"strings"
)

// maxDetails bounds the faults that are described one by one.
const maxDetails = 40

// Summary is the verdict of a run.
type Summary struct {
	Jobs, Starts int
	// DuplicateStarts counts attempts that started twice, second starts of tasks
	// of jobs that are not repeatable, and jobs that two homes started.
	DuplicateStarts int
	// PartialResults counts complete answers without all results, and other answers
	// with results.
	PartialResults int
	// WrongAnswers counts answers with foreign results, answers that contradict each
	// other or the starts, and rejections of well-formed messages.
	WrongAnswers int
	// FalseNotRun counts jobs that were answered not_run and have a start.
	FalseNotRun int
	// Unknown counts jobs with no better answer than unknown, and Unanswered those
	// without an answer. Both are allowed.
	Unknown, Unanswered int
	// StopViolations counts starts at targets that had been leaving for too long,
	// and requests that a planned stop interrupted.
	StopViolations int
	// Answers counts jobs by the state of their answer and its reason code.
	Answers map[string]int
	// Details describes the first faults and lost jobs.
	Details []string
}

// String returns the line that ends a run.
func (s Summary) String() string {
	return fmt.Sprintf("soak: %d jobs, %d starts, %d started twice, %d partial, %d wrong answers, "+
		"%d false not-run, %d unknown, %d lost",
		s.Jobs, s.Starts, s.DuplicateStarts, s.PartialResults, s.WrongAnswers, s.FalseNotRun, s.Unknown, s.Unanswered)
}

// GuaranteeBroken reports whether a guarantee was broken.
func (s Summary) GuaranteeBroken() bool {
	return s.DuplicateStarts+s.PartialResults+s.WrongAnswers+s.FalseNotRun > 0
}

func (s *Summary) fault(count *int, format string, args ...any) {
	*count++
	if len(s.Details) < maxDetails {
		s.Details = append(s.Details, fmt.Sprintf(format, args...))
	}
}

// verify compares what the callers were told with what the targets did. It
// runs once nothing is in flight any more.
func verify(records []*record, starts []start) Summary {
	s := Summary{Jobs: len(records), Starts: len(starts), Answers: map[string]int{}}
	byJob := s.attribute(records, starts)
	s.attempts(starts)
	for _, r := range records {
		s.job(r, byJob[r.ID])
	}
	return s
}

// attribute groups the starts by the job of their mark.
func (s *Summary) attribute(records []*record, starts []start) map[int][]start {
	known := make(map[int]*record, len(records))
	for _, r := range records {
		known[r.ID] = r
	}
	byJob := map[int][]start{}
	for _, st := range starts {
		job, task, ok := parseMark(st.Mark)
		if r := known[job]; !ok || r == nil || task != st.Task || task >= r.Tasks {
			s.fault(&s.WrongAnswers, "a start with a foreign payload: %+v", st)
			continue
		}
		byJob[job] = append(byJob[job], st)
	}
	return byJob
}

func (s *Summary) attempts(starts []start) {
	type attempt struct {
		job          string
		task, number int
	}
	seen := make(map[attempt]start, len(starts))
	for _, st := range starts {
		k := attempt{st.Job, st.Task, st.Attempt}
		if first, ok := seen[k]; ok {
			s.fault(&s.DuplicateStarts, "one attempt started twice: %+v and %+v", first, st)
		}
		seen[k] = st
	}
}

func (s *Summary) job(r *record, starts []start) {
	s.homes(r, starts)
	s.atMostOnce(r, starts)
	for _, a := range r.answers {
		s.answer(r, a, starts)
	}
	s.agreement(r)
	for _, text := range r.rejected {
		s.fault(&s.WrongAnswers, "job %d was rejected: %s", r.ID, text)
	}
	best := r.best()
	s.Answers[strings.Trim(best.State+"/"+best.Code, "/")]++
	switch best.State {
	case stateUnknown:
		s.Unknown++
	case "":
		s.fault(&s.Unanswered, "job %d was lost; the last request: %s", r.ID, r.last)
	}
}

func (s *Summary) homes(r *record, starts []start) {
	for _, st := range starts {
		if st.Job != starts[0].Job {
			s.fault(&s.DuplicateStarts, "job %d was started under two names: %+v and %+v", r.ID, starts[0], st)
			return
		}
	}
}

func (s *Summary) atMostOnce(r *record, starts []start) {
	if r.Repeatable {
		return
	}
	seen := map[int]start{}
	for _, st := range starts {
		if first, ok := seen[st.Task]; ok {
			s.fault(&s.DuplicateStarts, "job %d is not repeatable: %+v and %+v", r.ID, first, st)
		}
		seen[st.Task] = st
	}
}

func (s *Summary) answer(r *record, a observed, starts []start) {
	switch a.State {
	case stateComplete:
		s.complete(r, a, starts)
		return
	case stateNotRun:
		if len(starts) > 0 {
			s.fault(&s.FalseNotRun, "job %d was answered not_run (%s) by %s and has %d starts, first %+v",
				r.ID, a.Code, a.Instance, len(starts), starts[0])
		}
	case stateFailed, stateUnknown:
	default:
		s.fault(&s.WrongAnswers, "job %d was answered with state %q by %s", r.ID, a.State, a.Instance)
	}
	if len(a.Results) > 0 {
		s.fault(&s.PartialResults, "job %d was answered %s with %d results by %s", r.ID, a.State, len(a.Results), a.Instance)
	}
}

func (s *Summary) complete(r *record, a observed, starts []start) {
	if len(a.Results) != r.Tasks {
		s.fault(&s.PartialResults, "job %d of %d tasks was answered with %d results by %s", r.ID, r.Tasks, len(a.Results), a.Instance)
		return
	}
	for i, result := range a.Results {
		if string(result) != mark(r.ID, i) {
			s.fault(&s.WrongAnswers, "job %d task %d was answered with %.80q by %s", r.ID, i, result, a.Instance)
			return
		}
		if !slices.ContainsFunc(starts, func(st start) bool { return st.Task == i }) {
			s.fault(&s.WrongAnswers, "job %d task %d has a result from %s and no start", r.ID, i, a.Instance)
			return
		}
	}
	if r.Fails {
		s.fault(&s.WrongAnswers, "job %d has a failing task and was answered complete by %s", r.ID, a.Instance)
	}
	if len(starts) > a.Starts {
		s.fault(&s.WrongAnswers, "job %d has %d starts and its answer says %d", r.ID, len(starts), a.Starts)
	}
}

// agreement compares the answers of one job: unknown may stand beside any
// other state, but the others must be the same.
func (s *Summary) agreement(r *record) {
	var first *observed
	for i, a := range r.answers {
		if a.State == stateUnknown {
			continue
		}
		if first == nil {
			first = &r.answers[i]
		}
		if a.State != first.State || a.Code != first.Code {
			s.fault(&s.WrongAnswers, "job %d was answered %s (%s) by %s and %s (%s) by %s",
				r.ID, first.State, first.Code, first.Instance, a.State, a.Code, a.Instance)
			return
		}
	}
}
