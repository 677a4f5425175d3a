package configuration

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/catalog"
	"marigoldfront.dev/core/evacuation"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/pool/port"
)

var errDown = errors.New("the store is down")

// fakeStore serves keys that the test sets. Its methods for writing are not used.
type fakeStore struct {
	port.Store
	mu       sync.Mutex
	items    map[string]port.Item
	history  []port.Item
	revision int64
	down     bool
	forgets  bool
}

func newFakeStore() *fakeStore { return &fakeStore{items: map[string]port.Item{}, revision: 100} }

func (s *fakeStore) write(key string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := port.Item{Key: key, Revision: s.revision, Deleted: deleted}
	if s.items[key] = it; deleted {
		delete(s.items, key)
	}
	s.history = append(s.history, it)
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgets, s.history = true, nil
}

func (s *fakeStore) Read(_ context.Context, prefix string) ([]port.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errDown
	}
	s.forgets = false
	var out []port.Item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, it)
		}
	}
	return out, s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after int64, _ time.Duration) ([]port.Item, int64, error) {
	for ctx.Err() == nil {
		s.mu.Lock()
		down, forgets, revision := s.down, s.forgets, s.revision
		var out []port.Item
		for _, it := range s.history {
			if it.Revision > after {
				out = append(out, it)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			return nil, 0, errDown
		case forgets:
			return nil, 0, port.ErrCompacted
		case revision > after:
			return out, revision, nil
		}
		time.Sleep(time.Millisecond)
	}
	return nil, 0, ctx.Err()
}

// fakeFormats has the configuration at "op/c" and evacuated zones at "op/e/ZONE".
type fakeFormats struct{}

func (fakeFormats) OperatorPrefix() string   { return "op/" }
func (fakeFormats) ConfigurationKey() string { return "op/c" }
func (fakeFormats) TargetPrefix() string     { return "targets/" }
func (fakeFormats) EvacuatedZone(key string) (string, bool) {
	return strings.CutPrefix(key, "op/e/")
}
func (fakeFormats) Configuration([]byte) (*catalog.Catalog, error) {
	return catalog.New(1, nil, nil), nil
}
func (fakeFormats) Target(string, []byte) (scheduler.Target, error) { return scheduler.Target{}, nil }

// recorder records what a Watcher reports.
type recorder struct {
	mu     sync.Mutex
	events []string
	asked  int
}

func (r *recorder) add(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

func (r *recorder) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

func (r *recorder) askedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked
}

func newTestWatcher(s *fakeStore) (*Watcher, *recorder) {
	r := &recorder{}
	w := New(Config{
		Log: zap.NewNop(), Store: s, Formats: fakeFormats{},
		OnConfiguration: func(*catalog.Catalog) { r.add("configuration") },
		OnEvacuation:    func(s evacuation.Set) { r.add("evacuated: " + strings.Join(s.Zones, " ")) },
		AskInstance: func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.asked++
		},
	})
	return w, r
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met: %s", what)
		}
	}
}

func (w *Watcher) evacuates(zones ...string) func() bool {
	return func() bool { return slices.Equal(w.Evacuation().Zones, zones) }
}

// Guards against an instance that starts during an evacuation and claims targets before
// it knows the zone.
func TestEvacuationComesBeforeTheConfiguration(t *testing.T) {
	s := newFakeStore()
	s.write("op/c", false)
	s.write("op/e/a", false)
	w, r := newTestWatcher(s)
	go w.Run()
	defer w.Close()
	eventually(t, "the configuration is in force", func() bool { return w.Catalog() != nil })
	if got := r.all(); !slices.Equal(got, []string{"evacuated: a", "configuration"}) {
		t.Errorf("the order was %q", got)
	}
}

// Guards against a zone that stays evacuated, or is not evacuated, because the request
// was withdrawn or written while the store was unreachable or had lost its history.
func TestEvacuationChangesDuringAnOutage(t *testing.T) {
	for name, end := range map[string]func(*fakeStore){
		"outage":            func(s *fakeStore) { s.setDown(false) },
		"forgotten history": func(s *fakeStore) { s.forget(); s.setDown(false) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			s.write("op/e/a", false)
			s.write("op/e/b", false)
			w, r := newTestWatcher(s)
			go w.Run()
			defer w.Close()
			eventually(t, "both zones are evacuated", w.evacuates("a", "b"))
			s.setDown(true)
			eventually(t, "another instance is asked", func() bool { return r.askedCount() > 0 })
			s.write("op/e/a", true)
			s.write("op/e/c", false)
			if !w.evacuates("a", "b")() {
				t.Errorf("during the outage, the set is %v", w.Evacuation())
			}
			end(s)
			eventually(t, "the requests from the outage are in force", w.evacuates("b", "c"))
		})
	}
}

// Guards against an older view of the store, of another instance or of an answer that was
// under way for long, that replaces a newer one.
func TestOlderSetDoesNotReplaceANewerOne(t *testing.T) {
	s := newFakeStore()
	s.write("op/e/a", false)
	w, r := newTestWatcher(s)
	// Another instance has read the store after the zone was taken back.
	w.ApplyEvacuation(evacuation.Set{Revision: 103}, "instance")
	go w.Run()
	defer w.Close()
	s.write("op/x", false)
	time.Sleep(20 * time.Millisecond)
	w.ApplyEvacuation(evacuation.Set{Revision: 50, Zones: []string{"z"}}, "instance")
	if got := r.all(); len(got) > 0 || !w.evacuates()() {
		t.Errorf("the set is %v, the changes were %q", w.Evacuation(), got)
	}
	s.write("op/e/a", true)
	s.write("op/e/b", false)
	eventually(t, "the newer request of the store is in force", w.evacuates("b"))
}

// Guards against a request that was withdrawn at once and stays in force.
func TestWithdrawnEvacuationIsNotInForce(t *testing.T) {
	s := newFakeStore()
	w, _ := newTestWatcher(s)
	go w.Run()
	defer w.Close()
	eventually(t, "the store was read", func() bool { return w.Evacuation().Revision == 100 })
	s.write("op/e/a", false)
	eventually(t, "the zone is evacuated", w.evacuates("a"))
	s.write("op/e/a", true)
	eventually(t, "the removal was read", func() bool { return w.Evacuation().Revision == 102 })
	if !w.evacuates()() {
		t.Errorf("the set is %v", w.Evacuation())
	}
}
