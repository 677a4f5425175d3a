package fleet

import (
	"fmt"
	"net/http"

	"marigoldfront.dev/bench/faultproxy"
	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/infra/instancelist"
)

// TargetSpec describes a stand-in target to start.
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
	// Proxy, if set, forwards to the target and is published in its place. It
	// stays open when the process exits, so that a restart keeps the address.
	Proxy *faultproxy.Proxy
	// OnLine, if set, receives each line of output. The target then prints its
	// task starts, so that they are still known after the target exits.
	OnLine func(line string)
}

// Target is a running stand-in target.
type Target struct {
	*Process
	TargetSpec
	// Address is the IP:port of the target itself, without its proxy.
	Address string
}

// TaskStart is one start of a task as the target recorded it.
type TaskStart struct {
	Target     string `json:"target"`
	TimeUnixMS int64  `json:"time_unix_ms"`
	Job        string `json:"job"`
	Task       int    `json:"task"`
	Attempt    int    `json:"attempt"`
	Service    string `json:"service"`
	Caller     string `json:"caller"`
}

// StartTarget starts a target and adds it to the instance list as live.
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
	return t, f.Platform.Register(t.instanceListEntry(instancelist.StateLive))
}

func (t *Target) instanceListEntry(state string) instancelist.Instance {
	return instancelist.Instance{Name: t.Name, Kind: instancelist.KindTarget, Region: t.Region,
		AvailabilityZone: t.AvailabilityZone, Address: t.listedAddress(), State: state}
}

// listedAddress returns the published address: that of the proxy, if there is
// one, or else that of the target.
func (t *Target) listedAddress() string {
	if t.Proxy != nil {
		return t.Proxy.Addr()
	}
	return t.Address
}

// MarkTargetLeaving marks the target as leaving on the instance list.
func (f *Fleet) MarkTargetLeaving(t *Target) error {
	return f.Platform.Register(t.instanceListEntry(instancelist.StateLeaving))
}

// TaskStarts returns every task start that the target recorded.
func (t *Target) TaskStarts() ([]TaskStart, error) {
	var reply struct {
		Starts []TaskStart `json:"starts"`
	}
	err := requestJSON(http.MethodGet, "http://"+t.Address+"/v1/starts", nil, &reply)
	return reply.Starts, err
}

// SetFailAll sets whether every task of the target fails immediately.
func (t *Target) SetFailAll(fail bool) error {
	return requestJSON(http.MethodPost, "http://"+t.Address+"/v1/control", map[string]bool{"fail_all": fail}, nil)
}

// SetSpeed sets the relative speed of tasks that start after the call; 1 is the
// normal speed.
func (t *Target) SetSpeed(speed float64) error {
	return requestJSON(http.MethodPost, "http://"+t.Address+"/v1/control", map[string]float64{"speed": speed}, nil)
}

// DirectoryTarget returns the configuration of the target for use in a ticket.
func (t *Target) DirectoryTarget() directory.Target {
	return directory.Target{Name: t.Name, Services: t.Services, Region: t.Region,
		AvailabilityZone: t.AvailabilityZone, Rack: t.Rack, Address: t.listedAddress(), Slots: t.Slots,
		Connections: t.Connections, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators}
}
