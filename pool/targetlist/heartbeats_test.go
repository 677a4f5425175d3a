package targetlist

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// Guards against a list that falls further and further behind, because the heartbeats
// of many targets make more changes than one answer of the store holds. Targets would
// get new tasks long after they have announced their shutdown.
func TestManyHeartbeatsDoNotDelayTheList(t *testing.T) {
	const targets, heartbeatEvery, maxEvents = 3400, 1500 * time.Millisecond, 500
	f := newFixture(t)
	f.store.mu.Lock()
	f.store.maxEvents = maxEvents
	f.store.mu.Unlock()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	wg.Go(func() {
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		begin, n := time.Now(), 0
		for {
			select {
			case <-tick.C:
			case <-stop:
				return
			}
			for due := int(time.Since(begin) * targets / heartbeatEvery); n < due; n++ {
				id := fmt.Sprint("t", n%targets)
				f.store.put(id, target(id))
			}
		}
	})
	time.Sleep(5 * time.Second)
	leaving := target("leaving")
	leaving.Draining = true
	f.store.put("leaving", leaving)
	f.eventually("the target is draining", func() bool { return f.current()["leaving"].Draining })
}

// Guards against needless calls to the store: its answer to a watch is complete if it
// has few changes.
func TestFewChangesNeedOneWatch(t *testing.T) {
	f := newFixture(t)
	before := f.store.watchCount()
	const writes = 40
	for range writes {
		f.store.put("a", target("a"))
		time.Sleep(50 * time.Millisecond)
	}
	limit := int(writes*50*time.Millisecond/batchWindow) + 2
	if n := f.store.watchCount() - before; n > limit {
		t.Errorf("%d watches in %v, want at most %d", n, writes*50*time.Millisecond, limit)
	}
}
