package soak

import (
	"testing"
	"time"
)

func answered(repeatable bool, answers ...observed) []*record {
	return []*record{{ID: 1, Repeatable: repeatable, Tasks: 2, answers: answers}}
}

func begun(task, attempt int) start {
	return start{Target: "t", Job: "a-1-1", Task: task, Attempt: attempt, Mark: mark(1, task)}
}

// Guards against a verdict that misses a broken guarantee, or that blames an
// allowed course.
func TestVerify(t *testing.T) {
	whole := observed{State: stateComplete, Starts: 2, Results: [][]byte{[]byte(mark(1, 0)), []byte(mark(1, 1))}}
	swapped := observed{State: stateComplete, Starts: 2, Results: [][]byte{[]byte(mark(1, 1)), []byte(mark(1, 0))}}
	cut := observed{State: stateComplete, Starts: 2, Results: whole.Results[:1]}
	failed := observed{State: stateFailed, Code: "deadline", Starts: 2}
	leaky := observed{State: stateFailed, Results: whole.Results}
	notRun, unknown := observed{State: stateNotRun, Code: "deadline"}, observed{State: stateUnknown}
	both := []start{begun(0, 1), begun(1, 1)}
	other := begun(1, 2)
	other.Job = "b-1-1"
	foreign := begun(1, 2)
	foreign.Mark = mark(7, 1)
	tests := map[string]struct {
		records                          []*record
		starts                           []start
		twice, partial, wrong, falseNots int
	}{
		"complete":                  {answered(true, whole, whole, unknown), both, 0, 0, 0, 0},
		"retry of repeatable":       {answered(true, failed), append(both, begun(1, 2)), 0, 0, 0, 0},
		"retry of not repeatable":   {answered(false, failed), append(both, begun(1, 2)), 1, 0, 0, 0},
		"one attempt twice":         {answered(true, failed), append(both, begun(1, 1)), 1, 0, 0, 0},
		"two homes":                 {answered(true, failed), append(both, other), 1, 0, 0, 0},
		"foreign payload":           {answered(true, failed), append(both, foreign), 0, 0, 1, 0},
		"swapped results":           {answered(true, swapped), both, 0, 0, 1, 0},
		"too few results":           {answered(true, cut), both, 0, 1, 0, 0},
		"failed with results":       {answered(true, leaky), both, 0, 1, 0, 0},
		"not run":                   {answered(true, notRun, notRun), nil, 0, 0, 0, 0},
		"false not run":             {answered(true, notRun), both[:1], 0, 0, 0, 1},
		"contradiction":             {answered(true, whole, failed), both, 0, 0, 1, 0},
		"result without a start":    {answered(true, whole), both[:1], 0, 0, 1, 0},
		"more starts than answered": {answered(true, whole), append(both, begun(1, 2)), 0, 0, 1, 0},
		"no answer":                 {answered(true), both, 0, 0, 0, 0},
	}
	for name, tc := range tests {
		s := verify(tc.records, tc.starts)
		if s.DuplicateStarts != tc.twice || s.PartialResults != tc.partial || s.WrongAnswers != tc.wrong || s.FalseNotRun != tc.falseNots {
			t.Errorf("%s: %v\n%v", name, s, s.Details)
		}
		if s.GuaranteeBroken() != (tc.twice+tc.partial+tc.wrong+tc.falseNots > 0) {
			t.Errorf("%s: faulty is %v", name, s.GuaranteeBroken())
		}
	}
	if s := verify(answered(true, unknown), nil); s.Unknown != 1 || s.Unanswered != 0 {
		t.Errorf("unknown: %v", s)
	}
	if s := verify(answered(true), nil); s.Unanswered != 1 {
		t.Errorf("lost: %v", s)
	}
}

// Guards against P6 judged wrongly: a late start that is missed, and one that
// is blamed although an instance could not see the instance list.
func TestLateStarts(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	st := func(s int) start { return start{Target: "t", TimeUnixMS: at(s).UnixMilli(), Job: "1f-1-1"} }
	homes := map[string]string{"1f": "entry"}
	var s stops
	s.left(leave{"t", interval{at(0), at(8)}})
	s.left(leave{"other", interval{at(0), at(8)}})
	if late, unjudged := s.late([]start{st(1), st(2), st(4), st(9)}, homes); len(late) != 1 || unjudged != 0 {
		t.Errorf("%d late and %d not judged, want 1 and 0", len(late), unjudged)
	}
	s.hidden = map[string][]interval{"entry": {{at(7), at(9)}}}
	if late, unjudged := s.late([]start{st(4)}, homes); len(late) != 0 || unjudged != 1 {
		t.Errorf("%d late and %d not judged while the list was hidden", len(late), unjudged)
	}
}
