package placement

import (
	"math"
	"testing"
	"time"
)

// Guards against invalid speeds from a peer that affect forecasts, and against
// imported speeds that replace the observations of this instance.
func TestImportIgnoresInvalidAndObservedSpeeds(t *testing.T) {
	tb := newTable(4)
	tb.RecordRunTime("s", "t000", 0, 80*time.Millisecond)
	own := tb.Speeds()
	bad := []Speed{
		{"t000", "s", time.Second, 50}, {"t001", "s", 0, 50}, {"t001", "s", -1, 50}, {"t002", "s", math.MaxInt64, 50},
		{"t003", "s", time.Second, 0}, {"t003", "s", time.Second, -1}, {"t003", "s", time.Second, 3}, {"gone", "s", time.Second, 5}, {"t003", "gone", time.Second, 5},
	}
	tb.ImportSpeeds(bad)
	if got := tb.Speeds(); len(got) != 1 || got[0] != own[0] {
		t.Errorf("speeds are %+v, want %+v", got, own)
	}
}

// Guards against a wrong speed from a peer that outweighs own observations.
func TestOwnObservationsOutweighImportedSpeeds(t *testing.T) {
	tb := newTable(2)
	tb.ImportSpeeds([]Speed{{"t000", "s", 10 * time.Millisecond, math.MaxInt}, {"t001", "s", 100 * time.Millisecond, math.MaxInt}})
	if c, _ := tb.Choose(start, Request{Service: "s", Waiting: 1}); c.Target != "t000" {
		t.Fatalf("chose %+v", c)
	}
	for range 10 {
		tb.RecordRunTime("s", "t000", 0, 400*time.Millisecond)
	}
	if c, _ := tb.Choose(start.Add(time.Second), Request{Service: "s", Waiting: 1}); c.Target != "t001" {
		t.Errorf("chose %+v after own observations", c)
	}
}
