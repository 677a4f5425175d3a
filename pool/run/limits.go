package run

import (
	"bytes"
	"net/http"
	"sync"
	"syscall"

	"marigoldfront.dev/core/intake"
	infra "marigoldfront.dev/infra/intake"
	"marigoldfront.dev/pool/settings"
)

const (
	// memoryShare is the share of the memory setting that becomes the soft memory
	// limit of the Go runtime. Above it, garbage is collected at any cost in CPU
	// time. The rest is for the program itself and the buffers of the kernel.
	memoryShare = 0.7
	// requestShare is the share of the memory setting for connections, requests and
	// jobs. The rest below the soft limit is for the state of the instance and for
	// garbage.
	requestShare = 0.4
	// fileDescriptors are kept for files, or a third if there are few.
	fileDescriptors = 200
	// connectionShare is the share of the other descriptors for connections of
	// clients. The rest is for connections to targets, other instances and the store.
	connectionShare = 0.75
	// callerShare is the share of the connections that callers and scrapers may use
	// together, and scraperShare that up to which scrapers get further ones. The rest
	// is for other instances and readiness checks.
	callerShare  = 0.9
	scraperShare = 0.8
)

// requestLimits returns the limits of what clients may hold.
func requestLimits(cfg *settings.Settings) intake.Limits {
	descriptors := cfg.MaxDescriptors
	if descriptors == 0 {
		descriptors = descriptorLimit()
	}
	connections := int(connectionShare * float64(descriptors-min(fileDescriptors, descriptors/3)))
	return intake.Limits{
		Memory: int64(requestShare * float64(cfg.MemoryMB) * (1 << 20)), Connections: connections, Unfinished: connections / 2,
	}
}

// descriptorLimit returns the limit of the operating system, or a small one if it is
// unknown.
func descriptorLimit() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 1024
	}
	return int(min(l.Cur, 1<<20))
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
		if err := infra.Hold(r.Context(), int64(b.body.Cap())); err != nil {
			infra.SetRefusal(w)
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
