package canceller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/pool/port"
)

// fakeInstances is an instance with a Canceller, its store and its peers.
type fakeInstances struct {
	mu      sync.Mutex
	held    bool
	applied int
	// writeAfter is when a write returns, or 0 if it never does.
	writeAfter time.Duration
	writes     int
	peers      map[string]peerReply
	// departed is an instance whose registration has ended, or empty.
	departed string
	asked    []string
	told     []string // by the last question
}

type peerReply struct {
	written, fails bool
}

func (f *fakeInstances) canceller() *Canceller {
	return New(Config{
		Log: zap.NewNop(),
		Apply: func(string) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.applied++
			return f.held
		},
		Write: func(string) <-chan struct{} {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.writes++
			written := make(chan struct{})
			if f.writeAfter > 0 {
				time.AfterFunc(f.writeAfter, func() { close(written) })
			}
			return written
		},
		Peers: func() []string {
			var out []string
			for p := range f.peers {
				out = append(out, p)
			}
			return out
		},
		Departed: func() []string {
			if f.departed == "" {
				return nil
			}
			return []string{f.departed}
		},
		Clock: time.Now,
		Ask: func(_ context.Context, address string, jobs []string, write bool) (bool, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.asked = append(f.asked, address)
			f.told = jobs
			switch address {
			case "ended":
				return false, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
			case "paused":
				return false, errors.New("no reply")
			}
			if f.peers[address].fails {
				return false, errors.New("no reply")
			}
			return write && f.peers[address].written, nil
		},
	})
}

// Guards against a cancellation that is acknowledged while an instance that may start
// the job does not learn of it, and against one that is not acknowledged although all do.
func TestCancelIsAcknowledgedOnceItIsKnown(t *testing.T) {
	for name, tc := range map[string]struct {
		instances *fakeInstances
		want      port.CancelResult
		asked     bool
		// within is the time after which the result must be there.
		within time.Duration
	}{
		"held here":                    {&fakeInstances{held: true}, port.CancelledHere, false, 100 * time.Millisecond},
		"written":                      {&fakeInstances{writeAfter: 50 * time.Millisecond, peers: map[string]peerReply{"a": {}}}, port.CancelledElsewhere, false, 200 * time.Millisecond},
		"written by a peer":            {&fakeInstances{peers: map[string]peerReply{"a": {written: true}, "b": {fails: true}}}, port.CancelledElsewhere, true, storeTime + 200*time.Millisecond},
		"store is down":                {&fakeInstances{peers: map[string]peerReply{"a": {}, "b": {}}}, port.CancelledElsewhere, true, storeTime + 200*time.Millisecond},
		"store down, peer unreachable": {&fakeInstances{peers: map[string]peerReply{"a": {}, "b": {fails: true}}}, port.CancelFailed, true, timeout + 200*time.Millisecond},
		"store down, a departed instance may run":   {&fakeInstances{peers: map[string]peerReply{"a": {}}, departed: "paused"}, port.CancelFailed, true, timeout + 200*time.Millisecond},
		"store down, a departed instance has ended": {&fakeInstances{peers: map[string]peerReply{"a": {}}, departed: "ended"}, port.CancelledElsewhere, true, storeTime + 200*time.Millisecond},
		"store down, no peer known":                 {&fakeInstances{}, port.CancelFailed, false, timeout + 200*time.Millisecond},
		"written late":                              {&fakeInstances{writeAfter: time.Second, peers: map[string]peerReply{"a": {fails: true}}}, port.CancelledElsewhere, true, 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := tc.instances
			begun := time.Now()
			if got := f.canceller().Cancel(context.Background(), "j"); got != tc.want {
				t.Errorf("the result is %v, want %v", got, tc.want)
			}
			if d := time.Since(begun); d > tc.within {
				t.Errorf("the result took %v, want at most %v", d, tc.within)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.applied != 1 || (len(f.asked) > 0) != tc.asked {
				t.Errorf("applied %d times, asked %q, want some: %v", f.applied, slices.Sorted(slices.Values(f.asked)), tc.asked)
			}
		})
	}
}

// Guards against an instance that says it has written a cancellation before it has, or
// that keeps another one waiting while the store is away.
func TestCancelForPeer(t *testing.T) {
	f := &fakeInstances{writeAfter: 50 * time.Millisecond}
	if !f.canceller().CancelForPeer([]string{"j"}, true) || f.applied != 1 {
		t.Error("a written cancellation is reported as not written, or not applied")
	}
	f = &fakeInstances{}
	begun := time.Now()
	if f.canceller().CancelForPeer([]string{"j", "k"}, true) || time.Since(begun) > 2*peerTime {
		t.Errorf("an unwritten cancellation is reported as written, or only after %v", time.Since(begun))
	}
}

// Guards against a copy of a job that runs at another instance after the job was
// cancelled where it was in flight, and against a write to the store for each of these
// cancellations.
func TestOtherInstancesAreToldOfOwnJobs(t *testing.T) {
	many := map[string]peerReply{}
	for i := range maxTold + 1 {
		many[fmt.Sprint(i)] = peerReply{}
	}
	for name, tc := range map[string]struct {
		peers         map[string]peerReply
		asked, writes int
	}{
		"all reply":           {map[string]peerReply{"a": {}, "b": {}}, 2, 0},
		"one does not reply":  {map[string]peerReply{"a": {}, "b": {fails: true}}, 2, 1},
		"too many to be told": {many, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeInstances{held: true, peers: tc.peers}
			c := f.canceller()
			if got := c.Cancel(context.Background(), "j"); got != port.CancelledHere {
				t.Errorf("the result is %v", got)
			}
			c.Close()
			if len(f.asked) != tc.asked || f.writes != tc.writes {
				t.Errorf("%d instances were told and %d writes made, want %d and %d", len(f.asked), f.writes, tc.asked, tc.writes)
			}
		})
	}
}

// Guards against a copy of a cancelled job that runs at an instance which has started
// after the job was cancelled where it was in flight, also if that instance has ended.
func TestNewInstanceIsToldOfEarlierCancellations(t *testing.T) {
	f := &fakeInstances{held: true}
	c := f.canceller()
	c.TellStarted("early")
	c.Cancel(context.Background(), "own")
	c.CancelForPeer([]string{"other"}, false)
	c.Close()
	f.peers = map[string]peerReply{"late": {}}
	c.TellStarted("late")
	c.Close()
	if slices.Sort(f.told); !slices.Equal(f.told, []string{"other", "own"}) || !slices.Equal(f.asked, []string{"late"}) {
		t.Errorf("%q were told of %q", f.asked, f.told)
	}
	f.peers["late"] = peerReply{fails: true}
	c.TellStarted("late")
	c.Close()
	if f.writes != 2 {
		t.Errorf("%d cancellations were written for an instance that does not reply, want 2", f.writes)
	}
}
