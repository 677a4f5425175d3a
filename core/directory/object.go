// Package directory holds the configuration as of a ticket: the teams,
// services, callers and targets. It provides lookups, validation, a digest and
// snapshots of the configuration.
package directory

import "time"

// Team is a group of callers that shares a quota.
type Team struct {
	Name string `json:"name" toml:"name"`
	// Weight is the team's share of slot time under contention, relative to
	// the other teams; at least 1.
	Weight int `json:"weight" toml:"weight"`
	// MaxRunning caps the team's running tasks over all entry instances; 0
	// means no cap.
	MaxRunning int `json:"max_running,omitempty" toml:"max_running,omitempty"`
}

// Caller is a client system that submits jobs.
type Caller struct {
	Name string `json:"name" toml:"name"`
	Team string `json:"team" toml:"team"`
	// Owner is the person or group that is responsible for the caller.
	Owner string `json:"owner" toml:"owner"`
	// TokenSHA256 is the lower-case hex SHA-256 of the caller's bearer token.
	TokenSHA256 string `json:"token_sha256" toml:"token_sha256"`
	// Services lists the services that the caller may use.
	Services []string `json:"services" toml:"services"`
}

// Service is a kind of task that targets run.
type Service struct {
	Name string `json:"name" toml:"name"`
	// Owner is the person or group that is responsible for the service.
	Owner string `json:"owner" toml:"owner"`
	// ExpectedMS is the initial estimate of a task's run time in milliseconds.
	// It is used until run times have been observed.
	ExpectedMS int64 `json:"expected_ms" toml:"expected_ms"`
	// HedgePercent limits hedged starts to a percentage of all starts; 0
	// disables hedging.
	HedgePercent int `json:"hedge_percent" toml:"hedge_percent"`
	// MaxAttempts bounds the attempts per repeatable task; at least 1.
	MaxAttempts int `json:"max_attempts" toml:"max_attempts"`
}

// ExpectedRunTime returns the initial estimate of a task's run time.
func (s Service) ExpectedRunTime() time.Duration {
	return time.Duration(s.ExpectedMS) * time.Millisecond
}

// Target is a worker that runs tasks of its services.
type Target struct {
	Name             string   `json:"name" toml:"name"`
	Services         []string `json:"services" toml:"services"`
	Region           string   `json:"region" toml:"region"`
	AvailabilityZone string   `json:"availability_zone" toml:"availability_zone"`
	Rack             string   `json:"rack" toml:"rack"`
	// Address is the IP:port that is used until the instance list reports
	// another one.
	Address string `json:"address" toml:"address"`
	// Slots is the number of tasks that the target runs concurrently.
	Slots int `json:"slots" toml:"slots"`
	// Connections is the number of connections that the target accepts from
	// all entry instances together.
	Connections  int   `json:"connections" toml:"connections"`
	MemoryMB     int64 `json:"memory_mb" toml:"memory_mb"`
	Accelerators int64 `json:"accelerators" toml:"accelerators"`
}

// State is the whole configuration: every object, keyed by its name. Two
// equal states have equal digests.
type State struct {
	Teams    map[string]Team    `json:"teams"`
	Services map[string]Service `json:"services"`
	Callers  map[string]Caller  `json:"callers"`
	Targets  map[string]Target  `json:"targets"`
}

// Directory is the configuration that results from ticket Number. It is
// immutable, so that goroutines can share it.
type Directory struct {
	Number uint64
	Digest uint64
	State  State
}
