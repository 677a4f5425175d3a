package platform

import (
	"net/http"
	"sync"
	"time"
)

// Faults are the failures in force.
type Faults struct {
	// Outage answers every store call with 503 and ends open watches.
	Outage bool `json:"outage"`
	// DelayMS delays every store call in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseReplies is the number of writes to come that take effect but whose
	// connection is then closed instead of a reply.
	LoseReplies int `json:"lose_replies"`
	// ListOutage answers reads of the instance list with 503.
	ListOutage bool `json:"list_outage"`
	// ListLagMS is the age of the instance list that reads see.
	ListLagMS int64 `json:"list_lag_ms"`
}

// FaultChange is the body of POST /v1/faults. Fields that are left out stay.
type FaultChange struct {
	Outage      *bool  `json:"outage"`
	DelayMS     *int64 `json:"delay_ms"`
	LoseReplies *int   `json:"lose_replies"`
	ListOutage  *bool  `json:"list_outage"`
	ListLagMS   *int64 `json:"list_lag_ms"`
	// Compact makes the store forget its history now.
	Compact bool `json:"compact"`
}

type faults struct {
	mu  sync.Mutex
	now Faults
	// changed is closed and replaced on each change, for open watches.
	changed chan struct{}
}

func newFaults() *faults { return &faults{changed: make(chan struct{})} }

func (f *faults) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now, f.changed
}

func (f *faults) change(c FaultChange) Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	set(&f.now.Outage, c.Outage)
	set(&f.now.DelayMS, c.DelayMS)
	set(&f.now.LoseReplies, c.LoseReplies)
	set(&f.now.ListOutage, c.ListOutage)
	set(&f.now.ListLagMS, c.ListLagMS)
	close(f.changed)
	f.changed = make(chan struct{})
	return f.now
}

func set[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// loseReply reports whether this write's reply is to be lost.
func (f *faults) loseReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now.LoseReplies == 0 {
		return false
	}
	f.now.LoseReplies--
	return true
}

// admit applies outage and delay to a store call. It reports whether the call
// goes on. A delayed call goes on even if its client has given up meanwhile,
// as a real store's would.
func (f *faults) admit(w http.ResponseWriter) bool {
	now, _ := f.get()
	time.Sleep(time.Duration(now.DelayMS) * time.Millisecond)
	if now, _ = f.get(); now.Outage {
		http.Error(w, `{"error":"etcdserver: no leader","code":14}`, http.StatusServiceUnavailable)
		return false
	}
	return true
}
