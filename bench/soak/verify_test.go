package soak

import (
	"testing"
	"time"
)

func recordWith(repeatable bool, answers ...jobAnswer) []*jobRecord {
	return []*jobRecord{{ID: 1, Repeatable: repeatable, Tasks: 2, answers: answers}}
}

func newStart(task, attempt int) taskStart {
	return taskStart{Target: "t", Job: "a-1-1", Task: task, Attempt: attempt, Mark: taskMark(1, task)}
}

// Guards against a summary that misses a violated guarantee, or that reports an
// allowed sequence of starts and answers as a violation.
func TestVerify(t *testing.T) {
	complete := jobAnswer{State: stateComplete, Starts: 2, Results: [][]byte{[]byte(taskMark(1, 0)), []byte(taskMark(1, 1))}}
	swapped := jobAnswer{State: stateComplete, Starts: 2, Results: [][]byte{[]byte(taskMark(1, 1)), []byte(taskMark(1, 0))}}
	truncated := jobAnswer{State: stateComplete, Starts: 2, Results: complete.Results[:1]}
	failed := jobAnswer{State: stateFailed, Code: "deadline", Starts: 2}
	failedWithResults := jobAnswer{State: stateFailed, Results: complete.Results}
	notRun, unknown := jobAnswer{State: stateNotRun, Code: "deadline"}, jobAnswer{State: stateUnknown}
	both := []taskStart{newStart(0, 1), newStart(1, 1)}
	secondHome := newStart(1, 2)
	secondHome.Job = "b-1-1"
	foreignPayload := newStart(1, 2)
	foreignPayload.Mark = taskMark(7, 1)
	tests := map[string]struct {
		records                                      []*jobRecord
		starts                                       []taskStart
		duplicateStarts, partial, wrong, falseNotRun int
	}{
		"complete":                  {recordWith(true, complete, complete, unknown), both, 0, 0, 0, 0},
		"retry of repeatable":       {recordWith(true, failed), append(both, newStart(1, 2)), 0, 0, 0, 0},
		"retry of not repeatable":   {recordWith(false, failed), append(both, newStart(1, 2)), 1, 0, 0, 0},
		"one attempt twice":         {recordWith(true, failed), append(both, newStart(1, 1)), 1, 0, 0, 0},
		"two homes":                 {recordWith(true, failed), append(both, secondHome), 1, 0, 0, 0},
		"payload of other task":     {recordWith(true, failed), append(both, foreignPayload), 0, 0, 1, 0},
		"swapped results":           {recordWith(true, swapped), both, 0, 0, 1, 0},
		"too few results":           {recordWith(true, truncated), both, 0, 1, 0, 0},
		"failed with results":       {recordWith(true, failedWithResults), both, 0, 1, 0, 0},
		"not run":                   {recordWith(true, notRun, notRun), nil, 0, 0, 0, 0},
		"false not run":             {recordWith(true, notRun), both[:1], 0, 0, 0, 1},
		"contradiction":             {recordWith(true, complete, failed), both, 0, 0, 1, 0},
		"result without a start":    {recordWith(true, complete), both[:1], 0, 0, 1, 0},
		"more starts than answered": {recordWith(true, complete), append(both, newStart(1, 2)), 0, 0, 1, 0},
		"no answer":                 {recordWith(true), both, 0, 0, 0, 0},
	}
	for name, tc := range tests {
		s := verify(tc.records, tc.starts)
		if s.DuplicateStarts != tc.duplicateStarts || s.PartialResults != tc.partial || s.WrongAnswers != tc.wrong || s.FalseNotRun != tc.falseNotRun {
			t.Errorf("%s: %v\n%v", name, s, s.Details)
		}
		if s.GuaranteeBroken() != (tc.duplicateStarts+tc.partial+tc.wrong+tc.falseNotRun > 0) {
			t.Errorf("%s: GuaranteeBroken is %v", name, s.GuaranteeBroken())
		}
	}
	if s := verify(recordWith(true, unknown), nil); s.Unknown != 1 || s.Unanswered != 0 {
		t.Errorf("unknown: %v", s)
	}
	if s := verify(recordWith(true), nil); s.Unanswered != 1 {
		t.Errorf("no answer: %v", s)
	}
}

// Guards against a wrong check of the limit for leaving targets (guarantee P6):
// a late start that is not reported, and a start that is reported although its
// instance could not read the instance list.
func TestLateStarts(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	startAt := func(s int) taskStart { return taskStart{Target: "t", TimeUnixMS: at(s).UnixMilli(), Job: "1f-1-1"} }
	instanceByIncarnation := map[string]string{"1f": "entry"}
	var s plannedStops
	s.addLeavingPeriod(leavingPeriod{"t", interval{at(0), at(8)}})
	s.addLeavingPeriod(leavingPeriod{"other", interval{at(0), at(8)}})
	if late, unchecked := s.lateStarts([]taskStart{startAt(1), startAt(2), startAt(4), startAt(9)}, instanceByIncarnation); len(late) != 1 || unchecked != 0 {
		t.Errorf("%d late and %d unchecked starts, want 1 and 0", len(late), unchecked)
	}
	s.exempt = map[string][]interval{"entry": {{at(7), at(9)}}}
	if late, unchecked := s.lateStarts([]taskStart{startAt(4)}, instanceByIncarnation); len(late) != 0 || unchecked != 1 {
		t.Errorf("%d late and %d unchecked starts while the instance was exempt, want 0 and 1", len(late), unchecked)
	}
}
