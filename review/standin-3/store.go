package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store.
type store struct {
	rec      *record
	listener net.Listener

	mu        sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	leases    map[int64]*lease
	lastLease int64
	changed   chan struct{}
}

type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Created  int64 `json:",omitempty"`
	Lease    int64
	Deleted  bool `json:",omitempty"`
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

const (
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
	// pageItems is the number of items of a page, and minTTL the shortest lease.
	pageItems = 500
	minTTL    = time.Second
)

func newStore(rec *record) (*store, error) {
	s := &store{rec: rec, revision: 100, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.listener = l
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.page)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }()
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key as the operator or a worker does.
func (s *store) put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(item{Key: key, Value: b}, s.revision)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.write(item{Key: key, Deleted: true}, s.revision)
	}
}

// keys returns the keys with a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sorted(prefix, "")
}

// value returns the value of a key, or nil.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) sorted(prefix, after string) []string {
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

// write applies a change at a revision. The caller holds the lock.
func (s *store) write(it item, revision int64) {
	it.Revision, it.Created = revision, revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	if it.Deleted {
		it.Value, it.Lease = nil, 0
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expiry) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for _, key := range s.sorted("", "") {
		if s.items[key].Lease == id {
			s.rec.add("the store removes %s, its lease has ended", key)
			s.revision++
			s.write(item{Key: key, Deleted: true}, s.revision)
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.FormValue("Key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		CurrentRev int64
	}{it, s.revision})
}

func (s *store) page(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.sorted(r.FormValue("Prefix"), r.FormValue("After"))
	out := struct {
		Items      []item `json:"items"`
		HasMore    bool
		CurrentRev int64
	}{Items: []item{}, HasMore: len(keys) > pageItems, CurrentRev: s.revision}
	for _, key := range keys[:min(len(keys), pageItems)] {
		out.Items = append(out.Items, s.items[key])
	}
	reply(w, http.StatusOK, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	after, _ := strconv.ParseInt(r.FormValue("After"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("WaitMs"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	ended := false
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, r.FormValue("Prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, struct {
				Events     []item `json:"events"`
				CurrentRev int64
			}{events, revision})
			return
		}
		select {
		case <-changed:
		case <-limit:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string
			Revision int64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expected)+len(in.Puts)+len(in.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	items, matched := []item{}, true
	for _, e := range in.Expected {
		it, ok := s.items[e.Key]
		if ok {
			items = append(items, it)
		}
		matched = matched && it.Revision == e.Revision
	}
	if !matched {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range in.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease}, s.revision)
	}
	for _, key := range in.Remove {
		if _, ok := s.items[key]; ok {
			s.write(item{Key: key, Deleted: true}, s.revision)
		}
	}
	reply(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct{ TtlMs int64 }
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := max(time.Duration(in.TtlMs)*time.Millisecond, minTTL)
	s.leases[s.lastLease] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"Lease": s.lastLease, "TtlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiry = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"TtlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
