package command

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"marigoldfront.dev/core/poolstatus"
	"marigoldfront.dev/ctl/exit"
)

// Guards against output without the owner of a leased target, the reason why it
// gets no work, the state of a job, or what still runs in an evacuated zone, and against an unreachable instance that
// prevents the output for the others.
func TestPoolCommands(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(poolstatus.Status{
			Instance: "accra-1", AvailabilityZone: "accra", State: "serving", Configuration: 12,
			EvacuatedZones: []string{"accra"}, EvacuationRevision: 90,
			Claims: []poolstatus.Claim{
				{Service: "desk", AvailabilityZone: "accra", Holder: "accra-1", Fence: 70},
				{Service: "desk", AvailabilityZone: "accra", Shard: 1, Holder: "accra-2", Fence: 71},
			},
			Targets: []poolstatus.Target{
				{ID: "t1", Service: "desk", AvailabilityZone: "accra", Fence: 70, State: "usable", CPU: 64000, FreeCPU: 37000, Running: 1, LeaseLeftMS: 640, Slowness: 1.25},
				{ID: "t2", Service: "desk", AvailabilityZone: "accra", Fence: 70, State: "ejected", CPU: 96000, FreeCPU: 96000, Slowness: 0.8},
			},
			Jobs: []poolstatus.Job{{ID: "00000000000000a1", Queue: "auth", AgeMS: 120, LeftMS: 1380, Tasks: 3, Done: 1, Running: 1, Waiting: 1}},
		})
	}))
	defer s.Close()
	r := &transcript{}
	for _, tc := range []struct {
		args []string
		want exit.Code
	}{
		{[]string{"pool", "status", "--instance", s.URL, "--instance", "http://127.0.0.1:1"}, exit.OK},
		{[]string{"pool", "targets", "--instance", s.URL}, exit.OK},
		{[]string{"pool", "targets", "--instance", s.URL, "t2"}, exit.OK},
		{[]string{"pool", "targets", "--instance", s.URL, "t3"}, exit.NotFound},
		{[]string{"pool", "jobs", "--instance", s.URL}, exit.OK},
		{[]string{"pool", "jobs", "--instance", s.URL, "--output", "json"}, exit.OK},
		{[]string{"pool", "status", "--instance", "http://127.0.0.1:1"}, exit.Unreachable},
		{[]string{"pool", "status"}, exit.Usage},
	} {
		if got := r.run(tc.args...); got != tc.want {
			t.Errorf("%v: exit code %d, want %d", tc.args, got, tc.want)
		}
	}
	r.compare(t, "pool")
}
