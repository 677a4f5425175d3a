// Package poolstatus defines the JSON status page of an instance for leased
// targets.
package poolstatus

// Status is the state of one instance.
type Status struct {
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availability_zone"`
	PeerAddress      string `json:"peer_address"`
	// State is "serving", "draining" or "unconfigured".
	State         string `json:"state"`
	Configuration int64  `json:"configuration"`
	// EvacuatedZones holds the availability zones that the instance knows to be
	// evacuated, and EvacuationRevision the revision of the store at which it knows it.
	EvacuatedZones     []string `json:"evacuated_zones"`
	EvacuationRevision int64    `json:"evacuation_revision"`
	Claims             []Claim  `json:"claims"`
	Targets            []Target `json:"targets"`
	Jobs               []Job    `json:"jobs"`
}

// Claim is a shard of targets and the holder that the instance knows of.
type Claim struct {
	Service          string `json:"service"`
	AvailabilityZone string `json:"availability_zone"`
	Shard            int    `json:"shard"`
	Holder           string `json:"holder"`
	Fence            int64  `json:"fence"`
	// KeyMissing is set for an own claim whose key is gone from the store.
	KeyMissing bool `json:"vanished,omitempty"`
}

// Target is a target that the instance owns.
type Target struct {
	ID               string `json:"id"`
	Service          string `json:"service"`
	AvailabilityZone string `json:"availability_zone"`
	Fence            int64  `json:"fence"`
	// State is "usable", or why the target gets no new work: "draining",
	// "evacuated", "releasing", "removed", "fenced", "silent", "unknown" or "ejected".
	State string `json:"state"`
	// CPU and FreeCPU are in thousandths of a core.
	CPU     int64 `json:"cpu"`
	FreeCPU int64 `json:"free_cpu"`
	Running int   `json:"running"`
	// LeaseLeftMS is the remaining time of the lease on the target's runs, or 0
	// if there are none.
	LeaseLeftMS int64 `json:"lease_left_ms"`
	// Slowness is the learned run time relative to that on a target of average
	// speed.
	Slowness float64 `json:"slowness"`
}

// Job is a job that its owner has not answered yet.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// AgeMS is the time since the job arrived. LeftMS is the time until its
	// deadline.
	AgeMS   int64 `json:"age_ms"`
	LeftMS  int64 `json:"left_ms"`
	Tasks   int   `json:"tasks"`
	Done    int   `json:"done"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
}

// HeldShards returns the number of shards that the instance itself holds.
func (s *Status) HeldShards() int {
	n := 0
	for _, c := range s.Claims {
		if c.Holder == s.Instance {
			n++
		}
	}
	return n
}
