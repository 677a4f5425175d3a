package fleet

import (
	"fmt"
	"net/http"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/platform/instancelist"
)

// TargetSpec describes a stand-in target.
type TargetSpec struct {
	Name             string
	Region           string
	AvailabilityZone string
	Rack             string
	Services         []string
	Slots            int
	Connections      int
	Speed            float64
	Seed             uint64
	MemoryMB         int64
	Accelerators     int64
	FailAll          bool
}

// Target is a started stand-in target.
type Target struct {
	*Process
	TargetSpec
	// Address is the IP:port of the target.
	Address string
}

// Start is one start that a target made.
type Start struct {
	Target     string `json:"target"`
	TimeUnixMS int64  `json:"time_unix_ms"`
	Job        string `json:"job"`
	Task       int    `json:"task"`
	Attempt    int    `json:"attempt"`
	Service    string `json:"service"`
	Caller     string `json:"caller"`
}

// StartTarget starts a target and puts it on the instance list.
func (f *Fleet) StartTarget(s TargetSpec) (*Target, error) {
	args := []string{"target", "--listen", loopback, "--name", s.Name,
		"--slots", fmt.Sprint(s.Slots), "--connections", fmt.Sprint(s.Connections),
		"--speed", fmt.Sprint(s.Speed), "--seed", fmt.Sprint(s.Seed)}
	if s.FailAll {
		args = append(args, "--fail-all")
	}
	p, ready, err := f.start(s.Name, standinProgram, args...)
	if err != nil {
		return nil, err
	}
	t := &Target{Process: p, TargetSpec: s, Address: ready["listen"]}
	f.mu.Lock()
	f.targets = append(f.targets, t)
	f.mu.Unlock()
	return t, f.Platform.Register(t.instance(instancelist.StateLive))
}

func (t *Target) instance(state string) instancelist.Instance {
	return instancelist.Instance{Name: t.Name, Kind: instancelist.KindTarget, Region: t.Region,
		AvailabilityZone: t.AvailabilityZone, Address: t.Address, State: state}
}

// Leave marks the target as leaving on the instance list.
func (f *Fleet) Leave(t *Target) error {
	return f.Platform.Register(t.instance(instancelist.StateLeaving))
}

// Starts returns every start that the target made.
func (t *Target) Starts() ([]Start, error) {
	var reply struct {
		Starts []Start `json:"starts"`
	}
	err := control(http.MethodGet, "http://"+t.Address+"/v1/starts", nil, &reply)
	return reply.Starts, err
}

// SetFailAll makes every task of the target fail at once, or ends that.
func (t *Target) SetFailAll(fail bool) error {
	return control(http.MethodPost, "http://"+t.Address+"/v1/control", map[string]bool{"fail_all": fail}, nil)
}

// Configured returns the target as a ticket states it.
func (t *Target) Configured() directory.Target {
	return directory.Target{Name: t.Name, Services: t.Services, Region: t.Region,
		AvailabilityZone: t.AvailabilityZone, Rack: t.Rack, Address: t.Address, Slots: t.Slots,
		Connections: t.Connections, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators}
}
