package run

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marigoldfront.dev/core/intake"
	"marigoldfront.dev/pool/settings"
)

// Guards against limits that do not follow from the settings of a machine.
func TestRequestLimits(t *testing.T) {
	tests := []struct {
		name                    string
		memoryMB, descriptors   int
		wantMB                  float64
		connections, unfinished int
	}{
		{"smallest machine", 144, 3075, 57.6, 2156, 1078},
		{"largest machine", 536, 10_250, 214.4, 7537, 3768},
		{"few descriptors", 64, 300, 25.6, 150, 75},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			want := intake.Limits{Memory: int64(tc.wantMB * (1 << 20)), Connections: tc.connections, Unfinished: tc.unfinished}
			if got := requestLimits(&settings.Settings{MemoryMB: tc.memoryMB, MaxDescriptors: tc.descriptors}); got != want {
				t.Errorf("limits %+v, want %+v", got, want)
			}
		})
	}
	if got := requestLimits(&settings.Settings{MemoryMB: 64}); got.Connections <= 0 {
		t.Errorf("limits %+v without the number of descriptors", got)
	}
}

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
