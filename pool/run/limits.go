package run

import (
	"bytes"
	"errors"
	"net/http"
	"sync"

	infra "marigoldfront.dev/infra/intake"
	"marigoldfront.dev/pool/settings"
)

const (
	// callerShare is the share of the connections that callers and scrapers may use
	// together, and scraperShare that up to which scrapers get further ones. The rest
	// is for other instances and readiness checks.
	callerShare  = 0.9
	scraperShare = 0.8
)

// listeners is the number of listeners of an instance.
const listeners = 4

// budget divides the memory and the descriptors of the process.
func budget(cfg *settings.Settings) infra.Budget {
	return infra.NewBudget(cfg.MemoryMB, cfg.MaxDescriptors, listeners)
}

// rendered returns a handler that renders the response of h in memory, one at a time,
// and writes it while further ones are rendered. The memory counts as that of a request.
func rendered(h http.Handler) http.Handler {
	var mu sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := &bufferedResponse{ResponseWriter: w, status: http.StatusOK}
		func() {
			mu.Lock()
			defer mu.Unlock()
			h.ServeHTTP(b, r)
		}()
		var refused *infra.RefusedError
		if err := infra.Hold(r.Context(), int64(b.body.Cap())); errors.As(err, &refused) {
			infra.SetRefusal(w, refused)
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(b.status)
		// A write error means that the client has disconnected.
		_, _ = w.Write(b.body.Bytes())
	})
}

// bufferedResponse is a http.ResponseWriter that keeps the body.
type bufferedResponse struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }
