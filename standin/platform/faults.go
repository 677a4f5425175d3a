package platform

import (
	"net/http"
	"sync"
	"time"
)

// Faults holds the injected faults that are in effect.
type Faults struct {
	// Outage makes every store request fail with status 503 and ends open
	// watches.
	Outage bool `json:"outage"`
	// DelayMS delays every store request, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseReplies is the number of subsequent writes that take effect but get
	// no reply: their connection is closed instead.
	LoseReplies int `json:"lose_replies"`
	// ListOutage makes reads of the instance list fail with status 503.
	ListOutage bool `json:"list_outage"`
	// ListLagMS is the delay, in milliseconds, until reads of the instance list
	// return a change.
	ListLagMS int64 `json:"list_lag_ms"`
}

// FaultChange is the body of POST /v1/faults. An omitted field changes nothing.
type FaultChange struct {
	Outage      *bool  `json:"outage"`
	DelayMS     *int64 `json:"delay_ms"`
	LoseReplies *int   `json:"lose_replies"`
	ListOutage  *bool  `json:"list_outage"`
	ListLagMS   *int64 `json:"list_lag_ms"`
	// Compact makes the store delete its event history.
	Compact bool `json:"compact"`
}

type faultInjector struct {
	mu      sync.Mutex
	current Faults
	// changed is closed and replaced on each change. Open watches wait for it.
	changed chan struct{}
}

func newFaultInjector() *faultInjector { return &faultInjector{changed: make(chan struct{})} }

func (f *faultInjector) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

func (f *faultInjector) change(c FaultChange) Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	setIfPresent(&f.current.Outage, c.Outage)
	setIfPresent(&f.current.DelayMS, c.DelayMS)
	setIfPresent(&f.current.LoseReplies, c.LoseReplies)
	setIfPresent(&f.current.ListOutage, c.ListOutage)
	setIfPresent(&f.current.ListLagMS, c.ListLagMS)
	close(f.changed)
	f.changed = make(chan struct{})
	return f.current
}

func setIfPresent[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// loseReply reports whether the reply of this write must be lost, and counts it.
func (f *faultInjector) loseReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.LoseReplies == 0 {
		return false
	}
	f.current.LoseReplies--
	return true
}

// admit applies delay and outage to a store request. It reports whether the
// request proceeds; if not, it has sent the error. A delayed request proceeds
// even if its client has disconnected meanwhile, as in a real store.
func (f *faultInjector) admit(w http.ResponseWriter) bool {
	current, _ := f.get()
	time.Sleep(time.Duration(current.DelayMS) * time.Millisecond)
	if current, _ = f.get(); current.Outage {
		http.Error(w, `{"error":"etcdserver: no leader","code":14}`, http.StatusServiceUnavailable)
		return false
	}
	return true
}
