package run

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against many requests for the status, each of which takes the memory of a
// whole status while it is rendered.
func TestRenderedOneAtATime(t *testing.T) {
	var rendering atomic.Int64
	h := rendered(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if rendering.Add(1) > 1 {
			t.Error("two responses are rendered at the same time")
		}
		time.Sleep(time.Millisecond)
		rendering.Add(-1)
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write([]byte("text"))
	}))
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
			if w.Code != http.StatusTeapot || w.Body.String() != "text" {
				t.Errorf("status %d, body %q", w.Code, w.Body)
			}
		})
	}
	wg.Wait()
}
