package run

import (
	"testing"
	"time"

	"marigoldfront.dev/core/dispatch"
)

// Guards against settings that do not reach the Dispatcher: without its
// availability zone an instance sends most tasks to other zones, and without
// the policy a comparison compares a policy with itself.
func TestSettingsReachTheDispatcher(t *testing.T) {
	s := Settings{Name: "accra-entry-1", Region: "gh-south", AvailabilityZone: "accra", Policy: "default", BorrowFromMS: 500}
	cfg := s.dispatchConfig(7)
	if cfg.Instance != s.Name || cfg.Incarnation != 7 || cfg.Region != s.Region || cfg.AvailabilityZone != s.AvailabilityZone {
		t.Errorf("configuration %+v does not carry the settings", cfg)
	}
	if cfg.MinBorrowBacklog != 500*time.Millisecond {
		t.Errorf("slots are borrowed from a backlog of %v on", cfg.MinBorrowBacklog)
	}
	if cfg.Policy != dispatch.PolicyLoad {
		t.Errorf("the default policy is %q", cfg.Policy)
	}
	s.Policy = "baseline"
	if got := s.dispatchConfig(7).Policy; got != dispatch.PolicyBaseline {
		t.Errorf("the baseline policy is %q", got)
	}
}
