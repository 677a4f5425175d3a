package run

import (
	"testing"
	"time"

	"marigoldfront.dev/core/dispatch"
)

// Guards against settings that are not passed to the Dispatcher. Without its
// availability zone an instance sends most tasks to other zones, and without
// the policy a comparison of two policies runs the same policy twice.
func TestSettingsReachTheDispatcher(t *testing.T) {
	s := Settings{Name: "accra-entry-1", Region: "gh-south", AvailabilityZone: "accra", Policy: "default", BorrowFromMS: 500}
	cfg := s.dispatcherConfig(7)
	if cfg.Instance != s.Name || cfg.Incarnation != 7 || cfg.Region != s.Region || cfg.AvailabilityZone != s.AvailabilityZone {
		t.Errorf("configuration %+v does not carry the settings", cfg)
	}
	if cfg.MinBorrowBacklog != 500*time.Millisecond {
		t.Errorf("the minimum backlog for borrowed slots is %v, want 500ms", cfg.MinBorrowBacklog)
	}
	if cfg.Policy != dispatch.PolicyLoad {
		t.Errorf("the default policy is %q", cfg.Policy)
	}
	s.Policy = "baseline"
	if got := s.dispatcherConfig(7).Policy; got != dispatch.PolicyBaseline {
		t.Errorf("the baseline policy is %q", got)
	}
}
