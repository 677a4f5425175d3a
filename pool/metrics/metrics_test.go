package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"marigoldfront.dev/core/scheduler"
)

// Guards against refusals that an operator cannot attribute to a priority and a reason,
// and against refusals for other causes that count as a lack of room.
func TestServedCountsWhatIsTurnedAway(t *testing.T) {
	m := New()
	for _, a := range []scheduler.Reply{
		{Outcome: scheduler.Completed{}, Summary: scheduler.Summary{Priority: 0, Cost: 0.5, Waited: 3 * time.Millisecond}},
		{Outcome: scheduler.Refused{Reason: scheduler.ReasonOverloaded}, Summary: scheduler.Summary{Priority: 1, Cost: 0.25, Preferred: "j"}},
		{Outcome: scheduler.Refused{Reason: scheduler.ReasonOverloaded}, Summary: scheduler.Summary{Priority: 1, Cost: 0.5}},
		{Outcome: scheduler.Refused{Reason: scheduler.ReasonBusy}, Summary: scheduler.Summary{Priority: 1, Cost: 9}},
	} {
		m.Served(a)
	}
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`marigold_pool_turned_away_total{priority="1",reason="gave_way"} 1`,
		`marigold_pool_turned_away_total{priority="1",reason="no_room"} 1`,
		`marigold_pool_turned_away_cost{priority="1"} 0.75`,
		`marigold_pool_served_cost{priority="0"} 0.5`,
		`marigold_pool_queue_seconds_count{priority="0"} 1`,
	} {
		if !strings.Contains(w.Body.String(), line) {
			t.Errorf("no line %q in:\n%s", line, w.Body)
		}
	}
}
