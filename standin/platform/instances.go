package platform

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Instance is an entry of the instance list. Kind is entry or target, State is
// live or leaving.
type Instance struct {
	Name             string `json:"name"`
	Kind             string `json:"kind"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	Address          string `json:"address"`
	State            string `json:"state"`
}

type instanceChange struct {
	at       time.Time
	name     string
	instance *Instance // nil if the instance was removed
}

// instanceList holds the entries that readers see, and the changes that they do
// not see yet because of the injected lag.
type instanceList struct {
	mu      sync.Mutex
	visible map[string]Instance
	pending []instanceChange
}

func newInstanceList() *instanceList { return &instanceList{visible: map[string]Instance{}} }

func (l *instanceList) change(name string, in *Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, instanceChange{time.Now(), name, in})
}

func (l *instanceList) list(region string, lag time.Duration) []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && time.Since(l.pending[0].at) >= lag {
		if c := l.pending[0]; c.instance != nil {
			l.visible[c.name] = *c.instance
		} else {
			delete(l.visible, c.name)
		}
		l.pending = l.pending[1:]
	}
	out := []Instance{}
	for _, name := range slices.Sorted(maps.Keys(l.visible)) {
		if in := l.visible[name]; region == "" || in.Region == region {
			out = append(out, in)
		}
	}
	return out
}

func (s *Server) getInstances(w http.ResponseWriter, r *http.Request) {
	f, _ := s.faults.get()
	if f.ListOutage {
		http.Error(w, "instance list unavailable", http.StatusServiceUnavailable)
		return
	}
	l := s.instances.list(r.URL.Query().Get("region"), time.Duration(f.ListLagMS)*time.Millisecond)
	b, err := json.Marshal(map[string]any{"instances": l})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := fnv.New64a()
	h.Write(b)
	etag := fmt.Sprintf(`"%016x"`, h.Sum64())
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

func (s *Server) postInstance(w http.ResponseWriter, r *http.Request) {
	var in Instance
	if !readJSON(w, r, &in) {
		return
	}
	validKind := in.Kind == "entry" || in.Kind == "target"
	validState := in.State == "live" || in.State == "leaving"
	if in.Name == "" || in.Address == "" || !validKind || !validState {
		http.Error(w, "name, address, kind (entry, target) and state (live, leaving) are required", http.StatusBadRequest)
		return
	}
	s.instances.change(in.Name, &in)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteInstance(w http.ResponseWriter, r *http.Request) {
	s.instances.change(r.PathValue("name"), nil)
	w.WriteHeader(http.StatusNoContent)
}
