package fleet

import (
	"fmt"
	"net/http"

	"marigoldfront.dev/bench/faultproxy"
	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/infra/instancelist"
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
	// StragglerShare is the share of tasks that take 10 times as long, 0 to 1.
	StragglerShare float64
	// Proxy, if set, stands in front of the target and is made known in its
	// place. It outlives the process, so that a restart keeps the address.
	Proxy *faultproxy.Proxy
	// OnLine, if set, gets each line of output; the target then prints its
	// starts, so that those of a target that ends are not lost.
	OnLine func(line string)
}

// Target is a started stand-in target.
type Target struct {
	*Process
	TargetSpec
	// Address is the IP:port of the target.
	Address string
}

// TaskStart is one start that a target made.
type TaskStart struct {
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
		"--speed", fmt.Sprint(s.Speed), "--seed", fmt.Sprint(s.Seed),
		"--straggle-share", fmt.Sprint(s.StragglerShare)}
	if s.FailAll {
		args = append(args, "--fail-all")
	}
	if s.OnLine != nil {
		args = append(args, "--print-starts")
	}
	p, ready, err := f.start(s.Name, s.OnLine, standinProgram, args...)
	if err != nil {
		return nil, err
	}
	if s.Proxy != nil {
		s.Proxy.SetServer(ready["listen"])
	}
	t := &Target{Process: p, TargetSpec: s, Address: ready["listen"]}
	f.mu.Lock()
	f.targets = append(f.targets, t)
	f.mu.Unlock()
	return t, f.Platform.Register(t.instance(instancelist.StateLive))
}

func (t *Target) instance(state string) instancelist.Instance {
	return instancelist.Instance{Name: t.Name, Kind: instancelist.KindTarget, Region: t.Region,
		AvailabilityZone: t.AvailabilityZone, Address: t.listed(), State: state}
}

// listed returns the address that others use.
func (t *Target) listed() string {
	if t.Proxy != nil {
		return t.Proxy.Addr()
	}
	return t.Address
}

// MarkTargetLeaving marks the target as leaving on the instance list.
func (f *Fleet) MarkTargetLeaving(t *Target) error {
	return f.Platform.Register(t.instance(instancelist.StateLeaving))
}

// TaskStarts returns every start that the target made.
func (t *Target) TaskStarts() ([]TaskStart, error) {
	var reply struct {
		Starts []TaskStart `json:"starts"`
	}
	err := control(http.MethodGet, "http://"+t.Address+"/v1/starts", nil, &reply)
	return reply.Starts, err
}

// SetFailAll makes every task of the target fail at once, or ends that.
func (t *Target) SetFailAll(fail bool) error {
	return control(http.MethodPost, "http://"+t.Address+"/v1/control", map[string]bool{"fail_all": fail}, nil)
}

// SetSpeed changes the speed of the tasks that start from now on.
func (t *Target) SetSpeed(speed float64) error {
	return control(http.MethodPost, "http://"+t.Address+"/v1/control", map[string]float64{"speed": speed}, nil)
}

// DirectoryTarget returns the target as a ticket states it.
func (t *Target) DirectoryTarget() directory.Target {
	return directory.Target{Name: t.Name, Services: t.Services, Region: t.Region,
		AvailabilityZone: t.AvailabilityZone, Rack: t.Rack, Address: t.listed(), Slots: t.Slots,
		Connections: t.Connections, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators}
}
