// Package settings reads and validates the settings of an instance.
package settings

import (
	"net/netip"
	"time"

	"go.uber.org/zap/zapcore"

	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/core/scheduler"
	infra "marigoldfront.dev/infra/settings"
)

// Settings holds the settings of an instance, with the keys of its TOML file.
type Settings struct {
	// Name is the name of the instance.
	Name string `toml:"name"`
	// AvailabilityZone is the zone of the instance, and AvailabilityZones are the
	// zones with targets.
	AvailabilityZone  string   `toml:"availability_zone"`
	AvailabilityZones []string `toml:"availability_zones"`
	// Listen is the address for callers, ReadyListen that for the load balancer's
	// health checks, and PeerListen that for other instances. MetricsListen
	// serves metrics and status; it may be empty.
	Listen      string `toml:"listen"`
	ReadyListen string `toml:"ready_listen"`
	PeerListen  string `toml:"peer_listen"`
	// PeerAddress is the address at which other instances reach PeerListen. The
	// default is PeerListen.
	PeerAddress   string `toml:"peer_address"`
	MetricsListen string `toml:"metrics_listen"`
	// Store is the address of the platform's store.
	Store string `toml:"store"`
	// MemoryMB is the memory limit of the process, in MiB.
	MemoryMB int `toml:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may have open. The
	// default is the limit that the operating system has set.
	MaxDescriptors int `toml:"max_descriptors"`
	// Weight is the number of cores, or the fraction of a core, that the instance
	// may use. Instances with more cores are preferred as owners of targets.
	Weight float64 `toml:"weight"`
	// LinkMbps is the bandwidth of the instance's link in Mbit/s; 0 if it sets
	// no limit.
	LinkMbps float64 `toml:"link_mbps"`
	// LeaseMS is the longest lease that targets grant, in milliseconds.
	LeaseMS int `toml:"lease_ms"`
	// ResendMS is the shortest time after which a caller submits a job again that it
	// has no result of, in milliseconds.
	ResendMS int `toml:"resend_ms"`
	// EvacuationMS is the time after the request to evacuate an availability zone from
	// which on no task may start there, in milliseconds. Jobs that have started use less
	// than half of it for their remaining tasks; 0 leaves them none.
	EvacuationMS int `toml:"evacuation_ms"`
	// RemoteRackFactor is the factor by which a task takes longer outside the rack
	// of its data.
	RemoteRackFactor float64 `toml:"far_factor"`
	// GraceS is the time between SIGTERM and SIGKILL, in seconds.
	GraceS float64 `toml:"grace_s"`
	// Shards is the number of shards into which the targets of a service in an
	// availability zone are divided. It must be the same at all instances.
	Shards int `toml:"shards"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `toml:"log_level"`
	// Traces is "off", "stdout" or the file to which trace spans are appended.
	Traces string `toml:"traces"`
}

// Default returns the default values of the keys that a file may omit.
func Default() Settings {
	return Settings{Shards: 12, ResendMS: int(scheduler.DefaultResubmissionDelay.Milliseconds()), Weight: 1, LogLevel: "info", RemoteRackFactor: 1, Traces: "off"}
}

// Load reads and validates the file at path. It returns the findings of invalid
// keys with their positions.
func Load(path string) (Settings, finding.List) {
	s := Default()
	file, found := infra.Load(path, &s)
	if len(found) > 0 {
		return s, found
	}
	if s.PeerAddress == "" {
		s.PeerAddress = s.PeerListen
	}
	return s, s.validate(file)
}

// validate returns a finding for each invalid value.
func (s *Settings) validate(file *infra.File) finding.List {
	var found finding.List
	add := func(key, message string) { found.Add(file.Place(key), "%s", message) }
	for key, v := range map[string]string{"name": s.Name, "availability_zone": s.AvailabilityZone} {
		if v == "" {
			add(key, "must not be empty")
		}
	}
	for key, v := range map[string]string{
		"listen": s.Listen, "ready_listen": s.ReadyListen, "peer_listen": s.PeerListen, "peer_address": s.PeerAddress,
		"store": s.Store,
	} {
		if _, err := netip.ParseAddrPort(v); err != nil {
			add(key, "must be an IP:port")
		}
	}
	if s.MetricsListen != "" {
		if _, err := netip.ParseAddrPort(s.MetricsListen); err != nil {
			add("metrics_listen", "must be an IP:port")
		}
	}
	if len(s.AvailabilityZones) == 0 {
		add("availability_zones", "must name at least one")
	}
	if s.LeaseMS < 100 || s.LeaseMS > 60_000 {
		add("lease_ms", "must be 100 to 60000")
	}
	if s.ResendMS < 800 || s.ResendMS > 600_000 {
		add("resend_ms", "must be 800 to 600000")
	}
	if s.EvacuationMS < 0 || s.EvacuationMS > 600_000 {
		add("evacuation_ms", "must be 0 to 600000")
	}
	if s.MemoryMB < 16 {
		add("memory_mb", "must be at least 16")
	}
	if s.MaxDescriptors != 0 && s.MaxDescriptors < 256 {
		add("max_descriptors", "must be at least 256")
	}
	if s.Shards < 1 || s.Shards > 16 {
		add("shards", "must be 1 to 16")
	}
	if s.Weight <= 0 {
		add("weight", "must be above 0")
	}
	if s.LinkMbps < 0 {
		add("link_mbps", "must not be negative")
	}
	if s.GraceS < 1 {
		add("grace_s", "must be at least 1")
	}
	if _, err := zapcore.ParseLevel(s.LogLevel); err != nil {
		add("log_level", "must be debug, info, warn or error")
	}
	return found
}

// Lease returns the longest lease that targets grant.
func (s *Settings) Lease() time.Duration { return time.Duration(s.LeaseMS) * time.Millisecond }

// ResubmissionDelay returns the shortest time after which a caller submits a job again
// that it has no result of.
func (s *Settings) ResubmissionDelay() time.Duration {
	return time.Duration(s.ResendMS) * time.Millisecond
}

// evacuationStartShare is the share of EvacuationMS in which jobs that have started may
// start their remaining tasks. The rest is for instances that learn of the request late.
const evacuationStartShare = 0.4

// EvacuationStartTime returns how long after an instance has learned of the evacuation of
// a zone jobs that have started may start their remaining tasks there.
func (s *Settings) EvacuationStartTime() time.Duration {
	return time.Duration(float64(s.EvacuationMS) * evacuationStartShare * float64(time.Millisecond))
}

// Grace returns the time between SIGTERM and SIGKILL.
func (s *Settings) Grace() time.Duration { return time.Duration(s.GraceS * float64(time.Second)) }
