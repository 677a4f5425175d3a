package admission

import (
	"testing"
	"time"

	"marigoldfront.dev/core/answer"
)

// Guards against queueing jobs that will miss their deadline, against a team
// that fills the queue for other teams, and against refusing a job that an idle
// instance could run in time.
func TestDecide(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	ok := Request{Tasks: 10, Bytes: 100, Deadline: now.Add(3 * time.Second), LongestTask: time.Second, Work: 5 * time.Second, FitsAnyTarget: true, FitsServingTarget: true}
	idle := Load{AssignedSlots: 10, TeamShare: 1}
	with := func(f func(*Request, *Load)) (Request, Load) {
		r, l := ok, idle
		f(&r, &l)
		return r, l
	}
	cases := []struct {
		change func(*Request, *Load)
		want   answer.Code
	}{
		{func(*Request, *Load) {}, ""},
		{func(r *Request, _ *Load) { r.FitsAnyTarget = false }, answer.CodeNeverFits},
		{func(r *Request, _ *Load) { r.FitsServingTarget = false }, answer.CodeNoTarget},
		{func(_ *Request, l *Load) { l.QueuedBytes = 950 }, answer.CodeOverloaded},
		{func(_ *Request, l *Load) { l.QueuedTasks, l.TeamTasks = 60, 60 }, answer.CodeOverloaded},
		{func(_ *Request, l *Load) { l.QueuedTasks = 60 }, ""},
		{func(r *Request, _ *Load) { r.Deadline = now.Add(900 * time.Millisecond) }, answer.CodeDeadline},
		{func(_ *Request, l *Load) { l.QueuedWork, l.TeamWork = 40*time.Second, 40*time.Second }, answer.CodeDeadline},
		{func(_ *Request, l *Load) { l.QueuedWork, l.TeamShare = 40*time.Second, 0.5 }, ""},
	}
	controller := New(Limits{Tasks: 100, Bytes: 1000})
	for i, c := range cases {
		r, l := with(c.change)
		if got, _ := controller.Decide(now, r, l); got != c.want {
			t.Errorf("case %d: %q, want %q", i, got, c.want)
		}
	}
}
