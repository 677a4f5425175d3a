package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pelletier/go-toml/v2"

	"marigoldfront.dev/bench/faultproxy"
	"marigoldfront.dev/core/directory"
)

const controlTimeout = 5 * time.Second

var controlClient = &http.Client{Timeout: controlTimeout}

// control calls a test control of a stand-in.
func control(method, u string, in any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, u, bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: status %d", method, u, resp.StatusCode)
	}
	return nil
}

func (c *cluster) fault(change map[string]any) error {
	return control(http.MethodPost, "http://"+c.platformAddr+"/v1/faults", change)
}

func (c *cluster) listInstance(name, kind, zone, address, state string) error {
	return control(http.MethodPost, "http://"+c.platformAddr+"/v1/instances", map[string]string{"name": name,
		"kind": kind, "region": region, "availability_zone": zone, "address": address, "state": state})
}

func (c *cluster) unlist(name string) error {
	return control(http.MethodDelete, "http://"+c.platformAddr+"/v1/instances/"+name, nil)
}

// entry is one entry instance over its restarts.
type entry struct {
	// draining is set from the beginning of a planned stop to the next start.
	draining   atomic.Bool
	c          *cluster
	name, zone string
	platform   string
	proxy      *faultproxy.Proxy
	p          *process
	busy       sync.Mutex // held by what stops, pauses or starts it

	mu   sync.Mutex
	base string
}

// settings is the settings file of an entry instance.
type settings struct {
	Name             string   `toml:"name"`
	Region           string   `toml:"region"`
	AvailabilityZone string   `toml:"availability_zone"`
	Listen           string   `toml:"listen"`
	PeerListen       string   `toml:"peer_listen"`
	PeerAddress      string   `toml:"peer_address"`
	Store            []string `toml:"store"`
	InstanceList     string   `toml:"instance_list"`
	PeerSecret       string   `toml:"peer_secret"`
	DrainLimitS      int      `toml:"drain_limit_s"`
	LogLevel         string   `toml:"log_level"`
}

func (e *entry) start() error {
	s := settings{Name: e.name, Region: region, AvailabilityZone: e.zone, Listen: loopback, PeerListen: loopback,
		PeerAddress: e.proxy.Addr(), Store: []string{e.platform}, InstanceList: "http://" + e.platform,
		PeerSecret: peerSecret, DrainLimitS: drainLimitS, LogLevel: "info"}
	b, err := toml.Marshal(s)
	if err != nil {
		return err
	}
	if err := os.WriteFile(e.c.path(e.name+".toml"), b, 0o600); err != nil {
		return err
	}
	ready := make(chan string, 1)
	p, err := launch(e.c.bin, e.c.dir, e.name, "marigold-entry", []string{"--config", e.c.path(e.name + ".toml")}, once(ready))
	if err != nil {
		return err
	}
	e.p = p
	line, err := await(p, ready)
	if err != nil {
		return err
	}
	var at struct {
		Listen     string `json:"listen"`
		PeerListen string `json:"peer_listen"`
	}
	if err := json.Unmarshal([]byte(line), &at); err != nil {
		return fmt.Errorf("ready line of %s: %w", e.name, err)
	}
	e.proxy.SetServer(at.PeerListen)
	e.mu.Lock()
	e.base = "http://" + at.Listen
	e.mu.Unlock()
	return e.learnIncarnation()
}

func (e *entry) learnIncarnation() error {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	var s struct {
		Incarnation string `json:"incarnation"`
	}
	_, err := newAPI("").call(ctx, http.MethodGet, e.url()+"/v1/status", nil, &s)
	e.c.home(s.Incarnation, e.name)
	return err
}

// url returns the base URL of the newest process.
func (e *entry) url() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.base
}

func (e *entry) list(state string) error {
	return e.c.listInstance(e.name, "entry", e.zone, e.proxy.Addr(), state)
}

// target is one stand-in target over its restarts.
type target struct {
	c          *cluster
	name, zone string
	seed       uint64
	proxy      *faultproxy.Proxy
	p          *process
	busy       sync.Mutex

	mu      sync.Mutex
	address string
}

func (t *target) start() error {
	ready := make(chan string, 1)
	first := once(ready)
	p, err := launch(t.c.bin, t.c.dir, t.name, "marigold-standin", []string{"target", "--listen", loopback,
		"--name", t.name, "--slots", fmt.Sprint(slots), "--connections", fmt.Sprint(connections), "--speed", "1",
		"--seed", fmt.Sprint(t.seed), "--straggle-share", "0.01", "--print-starts"},
		func(line string) {
			first(line)
			t.c.started(line)
		})
	if err != nil {
		return err
	}
	t.p = p
	address, err := await(p, ready)
	if err != nil {
		return err
	}
	t.proxy.SetServer(address)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.address = address
	return nil
}

func (t *target) list(state string) error {
	return t.c.listInstance(t.name, "target", t.zone, t.proxy.Addr(), state)
}

func (t *target) control(change map[string]any) error {
	t.mu.Lock()
	address := t.address
	t.mu.Unlock()
	return control(http.MethodPost, "http://"+address+"/v1/control", change)
}

func (t *target) configured() directory.Target {
	return directory.Target{Name: t.name, Services: []string{"quick", "billed"}, Region: region, AvailabilityZone: t.zone,
		Rack: t.name, Address: t.proxy.Addr(), Slots: slots, Connections: connections, MemoryMB: targetMemoryMB}
}
