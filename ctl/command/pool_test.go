package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"marigoldfront.dev/core/poolstatus"
	"marigoldfront.dev/ctl/exit"
	"marigoldfront.dev/wire"
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

// fakePeer serves the configuration of an instance to other instances.
type fakePeer struct {
	wire.Pool
	value []byte
}

func (p fakePeer) FetchConfiguration(context.Context, *wire.FetchConfigurationRequest) (*wire.FetchConfigurationReply, error) {
	return &wire.FetchConfigurationReply{Version: 11, Value: p.value}, nil
}

// Guards against a configuration with errors that passes the check, findings without
// their place, and differences from the configuration of an instance that are not shown.
func TestPoolCheck(t *testing.T) {
	value, err := os.ReadFile("testdata/pool_valid.json")
	if err != nil {
		t.Fatal(err)
	}
	inForce := bytes.Replace(bytes.Replace(value, []byte("12"), []byte("11"), 1), []byte("1500"), []byte("1000"), 1)
	peer := httptest.NewServer(wire.NewPoolServer(fakePeer{value: inForce}))
	defer peer.Close()
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(poolstatus.Status{
			Instance: "accra-1", PeerAddress: strings.TrimPrefix(peer.URL, "http://"), Configuration: 11,
			Targets: []poolstatus.Target{{ID: "t1", Service: "motifs"}},
		})
	}))
	defer instance.Close()
	r := &transcript{}
	for _, tc := range []struct {
		args []string
		want exit.Code
	}{
		{[]string{"testdata/pool_valid.json"}, exit.OK},
		{[]string{"testdata/pool_valid.json", "--against", instance.URL}, exit.OK},
		{[]string{"testdata/pool_valid.json", "--instance", instance.URL}, exit.OK},
		{[]string{"testdata/pool_findings.json", "--against", "testdata/pool_valid.json"}, exit.Findings},
		{[]string{"testdata/pool_findings.json", "--against", "testdata/pool_valid.json", "--output", "json"}, exit.Findings},
		{[]string{"testdata/pool_wrong_type.json"}, exit.Findings},
		{[]string{"testdata/pool_valid.json", "--against", "testdata/pool_wrong_type.json"}, exit.Findings},
		{[]string{"testdata/absent.json"}, exit.Failure},
		{[]string{"testdata/pool_valid.json", "--against", "http://127.0.0.1:1"}, exit.Unreachable},
		{nil, exit.Usage},
	} {
		if got := r.run(append([]string{"pool", "check"}, tc.args...)...); got != tc.want {
			t.Errorf("%v: exit code %d, want %d", tc.args, got, tc.want)
		}
	}
	r.compare(t, "pool_check")
}
