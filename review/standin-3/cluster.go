package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// program is what the deploy file runs, from the root of the repository.
	program = "target/marigold-pool"
	host    = "desk.example"
	prefix  = "/orders/"
	service = "desk"
	// graceTime is the time between SIGTERM and SIGKILL.
	graceTime = 6 * time.Second
)

// cluster is a small deployment: instances, workers and the store.
type cluster struct {
	rec       *record
	dir       string
	zones     []string
	store     *store
	instances map[string]*instance
	workers   map[string]*worker
	version   int64
}

// instance is a process of the project.
type instance struct {
	c                                           *cluster
	name, zone                                  string
	listen, ready, peerListen, metrics, setting string
	// storeLink and peerLink are the links to the store and from other instances.
	storeLink, peerLink *link

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

var errSetup = errors.New("the case could not run")

func newCluster(rec *record, zones ...string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	st, err := newStore(rec)
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, zones: zones, store: st, instances: map[string]*instance{}, workers: map[string]*worker{}, version: 3}
	c.configure(route{"orders", prefix, service, 0, 4})
	return c, nil
}

type route struct {
	name, prefix, service string
	priority, attempts    int
}

// configure writes a configuration with the routes.
func (c *cluster) configure(routes ...route) {
	c.version += 2
	var all []map[string]any
	for _, r := range routes {
		all = append(all, map[string]any{
			"Name": "r-" + r.name, "Host": host, "Prefix": r.prefix, "Type": "unsafe", "TimeoutMs": 8000, "SloMs": 2000,
			"Priority": r.priority, "Service": r.service, "Attempts": r.attempts, "Stretch": 1.6,
		})
	}
	c.store.put("op/config", map[string]any{
		"Version": c.version, "Routes": all,
		"Services": []map[string]any{{"Name": service, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": false, "EnforcesCapacity": true, "Standby": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	c.rec.add("the operator writes configuration %d with %d routes", c.version, len(routes))
}

func (c *cluster) addWorker(id, zone, kind string) error {
	w, err := newWorker(c.rec, c.store, id, service, zone, kind, c.sourceOf)
	if err != nil {
		return err
	}
	c.workers[id] = w
	return nil
}

// freePort returns a port below those from which outgoing connections are opened.
func freePort() (int, error) {
	for range 200 {
		port := 12_000 + rand.IntN(18_000)
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err == nil {
			_ = l.Close()
			return port, nil
		}
	}
	return 0, errSetup
}

// addInstance starts an instance with the settings of a small deployment, as
// deploy/settings.toml gives them.
func (c *cluster) addInstance(name, zone string) error {
	in := &instance{c: c, name: name, zone: zone}
	for _, a := range []*string{&in.listen, &in.ready, &in.peerListen, &in.metrics} {
		port, err := freePort()
		if err != nil {
			return err
		}
		*a = fmt.Sprint("127.0.0.1:", port)
	}
	var err error
	if in.storeLink, err = newLink(c.store.address(), nil); err != nil {
		return err
	}
	if in.peerLink, err = newLink(in.peerListen, c.sourceOf); err != nil {
		return err
	}
	in.setting = filepath.Join(c.dir, name+".toml")
	text := fmt.Sprintf("name = %q\navailability_zone = %q\navailability_zones = [\"%s\"]\nlisten = %q\nready_listen = %q\npeer_listen = %q\n"+
		"peer_address = %q\nmetrics_listen = %q\nstore = %q\nweight = 0.4\nlink_mbps = 1000.0\nmemory_mb = 284\nmax_descriptors = 4100\n"+
		"lease_ms = 1000\nresend_ms = 1300\nfar_factor = 2\ngrace_s = 6\n",
		name, zone, strings.Join(c.zones, `", "`), in.listen, in.ready, in.peerListen, in.peerLink.address(), in.metrics, in.storeLink.address())
	if err := os.WriteFile(in.setting, []byte(text), 0o600); err != nil {
		return err
	}
	c.instances[name] = in
	return in.launch()
}

// sourceOf returns the name of the instance that has a connection from a port.
func (c *cluster) sourceOf(port int) string {
	pids := map[string]int{}
	for name, in := range c.instances {
		in.mu.Lock()
		if in.cmd != nil && in.cmd.Process != nil {
			pids[name] = in.cmd.Process.Pid
		}
		in.mu.Unlock()
	}
	return processOf(port, pids)
}

func (in *instance) launch() error {
	log, err := os.OpenFile(filepath.Join(in.c.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "--config", in.setting)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	in.mu.Lock()
	in.cmd, in.exited = cmd, exited
	in.mu.Unlock()
	in.c.rec.add("instance %s (zone %s) is started", in.name, in.zone)
	return nil
}

func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.c.rec.add("instance %s gets %s", in.name, s)
	_ = in.cmd.Process.Signal(s)
}

func (in *instance) kill() {
	in.signal(syscall.SIGKILL)
	<-in.exited
}

// cutStore cuts the instance off from the store.
func (in *instance) cutStore(cut bool) {
	in.storeLink.setCut("*", cut)
	in.c.rec.add("instance %s is cut off from the store: %v", in.name, cut)
}

// cutZone cuts the instances and workers of a zone off from those of all other zones, and
// its instances off from the store.
func (c *cluster) cutZone(zone string, cut bool) {
	for _, in := range c.instances {
		if in.zone == zone {
			in.storeLink.setCut("*", cut)
		}
		for _, o := range c.instances {
			if (in.zone == zone) != (o.zone == zone) {
				o.peerLink.setCut(in.name, cut)
			}
		}
		for _, w := range c.workers {
			if (in.zone == zone) != (w.zone == zone) {
				w.link.setCut(in.name, cut)
			}
		}
	}
	c.rec.add("zone %s is cut off from the other zones and from the store: %v", zone, cut)
}

// close ends all processes.
func (c *cluster) close() {
	for _, in := range c.instances {
		in.mu.Lock()
		if in.cmd != nil {
			_ = in.cmd.Process.Signal(syscall.SIGCONT)
			_ = in.cmd.Process.Kill()
		}
		exited := in.exited
		in.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs in", c.dir)
	}
}

func within(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

func isReady(in *instance) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.ready+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// registered reports whether an instance has its key in the store.
func (c *cluster) registered(name string) bool {
	return len(c.store.value("marigoldfront/members/"+name)) > 0
}

// awaitServing waits until all instances are ready and a job completes at each of them.
func (c *cluster) awaitServing() error {
	for _, in := range c.instances {
		if !within(10*time.Second, func() bool { return isReady(in) }) {
			return fmt.Errorf("%w: instance %s is not ready", errSetup, in.name)
		}
	}
	for _, in := range c.instances {
		if !within(10*time.Second, func() bool {
			return c.post(in, newID(), chain("20", 1, 1), 1500*time.Millisecond).status == http.StatusOK
		}) {
			return fmt.Errorf("%w: instance %s runs no job", errSetup, in.name)
		}
	}
	c.rec.add("all instances serve")
	return nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// chain is a job of steps that wait for each other.
func chain(spec string, steps, tasks int) map[string]any {
	var all []map[string]any
	ms := specTime(spec).Milliseconds()
	for i := range steps {
		step := map[string]any{"Count": tasks, "Cpu": taskCPU, "MemMb": 64, "EstimateMs": ms}
		if i > 0 {
			step["After"] = []int{i - 1}
		}
		all = append(all, step)
	}
	return map[string]any{"Spec": spec, "Steps": all, "BestEffort": true}
}

type answer struct {
	status     int
	body       string
	retryAfter string
	err        error
	at         time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return "no response: " + a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, a.body)
}

func (c *cluster) send(in *instance, method, path string, body any, wait time.Duration) answer {
	var b io.Reader
	if body != nil {
		j, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		b = bytes.NewReader(j)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.listen+path, b)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	req.Host = host
	req.Header.Set("Request-Timeout-Ms", fmt.Sprint(wait.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c.rec.add("client: %s %s to %s", method, path, in.name)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		a := answer{err: err, at: time.Now()}
		c.rec.add("client: %s %s at %s gets %s", method, path, in.name, a)
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, body: strings.TrimSpace(string(text)), retryAfter: resp.Header.Get("Retry-After"), err: err, at: time.Now()}
	c.rec.add("client: %s %s at %s gets %s", method, path, in.name, a)
	return a
}

func (c *cluster) post(in *instance, id string, job map[string]any, wait time.Duration) answer {
	return c.send(in, http.MethodPost, prefix+id, job, wait)
}

func (c *cluster) postInBackground(in *instance, id string, job map[string]any, wait time.Duration) <-chan answer {
	out := make(chan answer, 1)
	go func() { out <- c.post(in, id, job, wait) }()
	return out
}

func (c *cluster) cancel(in *instance, id string) answer {
	return c.send(in, http.MethodDelete, prefix+id, nil, 4*time.Second)
}

// starts returns the starts of the tasks of a job, in order.
func (c *cluster) starts(id string) []start {
	var out []start
	for _, w := range c.workers {
		for _, s := range w.allStarts() {
			if strings.HasPrefix(s.task, id+".") {
				out = append(out, s)
			}
		}
	}
	for i := range out {
		for k := i; k > 0 && out[k].at.Before(out[k-1].at); k-- {
			out[k], out[k-1] = out[k-1], out[k]
		}
	}
	return out
}

// holder returns the name in a value of a shard's key.
func holder(value []byte) string {
	var v struct {
		Name string `json:"name"`
	}
	_ = json.Unmarshal(value, &v)
	return v.Name
}
