package run

import (
	"fmt"
	"slices"
	"time"

	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/core/membership"
)

// Status is the JSON content of the status page.
type Status struct {
	Instance          string         `json:"instance"`
	Region            string         `json:"region"`
	AvailabilityZone  string         `json:"availability_zone"`
	Incarnation       string         `json:"incarnation"`
	State             string         `json:"state"`
	Ticket            uint64         `json:"ticket"`
	Digest            string         `json:"digest"`
	KnownTicket       uint64         `json:"known_ticket"`
	ConfirmationAgeMS int64          `json:"confirmation_age_ms"`
	Sessions          int            `json:"sessions"`
	Queue             QueueStatus    `json:"queue"`
	Peers             []PeerStatus   `json:"peers"`
	Targets           []TargetStatus `json:"targets"`
}

// QueueStatus holds the numbers of active jobs, of queued tasks and of attempts
// in flight.
type QueueStatus struct {
	Jobs    int `json:"jobs"`
	Tasks   int `json:"tasks"`
	Running int `json:"running"`
}

// PeerStatus describes another entry instance.
type PeerStatus struct {
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availability_zone"`
	Address          string `json:"address"`
	State            string `json:"state"`
	Ticket           uint64 `json:"ticket"`
}

// TargetStatus describes a target in the instance list.
type TargetStatus struct {
	Target  string `json:"target"`
	Address string `json:"address"`
	State   string `json:"state"`
	// Ejected reports that the target receives only probes, because tasks
	// failed on it.
	Ejected bool `json:"ejected,omitempty"`
}

// status returns the Status of the instance.
func (in *Instance) status() any {
	var stats dispatch.Stats
	var ejected []string
	in.engine.Inspect(func() { stats, ejected = in.dispatcher.Stats(), in.dispatcher.Ejected() })
	number, digest := in.configuration.InForce()
	s := Status{
		Instance: in.self.Name, Region: in.self.Region, AvailabilityZone: in.self.AvailabilityZone,
		Incarnation: fmt.Sprintf("%016x", in.self.Incarnation), State: "live",
		Ticket: number, Digest: fmt.Sprintf("%016x", digest), Sessions: stats.Sessions,
		Queue: QueueStatus{Jobs: stats.ActiveJobs, Tasks: stats.QueuedTasks, Running: in.sender.InFlight()},
		Peers: []PeerStatus{}, Targets: []TargetStatus{},
	}
	if in.draining.Load() {
		s.State = "draining"
	}
	in.peers.WithRoster(func(r *membership.Roster) {
		s.KnownTicket = r.HighestTicket()
		s.ConfirmationAgeMS = r.ConfirmationAge(time.Now()).Milliseconds()
		for _, p := range r.Peers() {
			s.Peers = append(s.Peers, PeerStatus{
				Instance: p.Name, AvailabilityZone: p.AvailabilityZone, Address: p.Address,
				State: peerState(p.State), Ticket: p.Ticket,
			})
		}
	})
	for _, t := range in.lister.Targets() {
		state := "live"
		if t.Leaving {
			state = "leaving"
		}
		s.Targets = append(s.Targets, TargetStatus{Target: t.Name, Address: t.Address, State: state, Ejected: slices.Contains(ejected, t.Name)})
	}
	return s
}

func peerState(s membership.State) string {
	switch s {
	case membership.Live:
		return "live"
	case membership.Draining:
		return "draining"
	case membership.Suspected:
		return "suspected"
	default:
		panic(fmt.Sprintf("run: unknown peer state %d", s))
	}
}
