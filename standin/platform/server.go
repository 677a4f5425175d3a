package platform

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"marigoldfront.dev/infra/gateway"
)

// maxBodyBytes admits a value of 1 MB in base64.
const maxBodyBytes = 4 << 20

// Server serves the store, the instance list and the controls. It is safe for
// concurrent use.
type Server struct {
	kv        *kv
	faults    *faultInjector
	instances *instanceList
	mux       *http.ServeMux
	calls     atomic.Int64
}

// New returns a server with an empty store and an empty instance list.
func New() *Server {
	s := &Server{kv: newKV(), faults: newFaultInjector(), instances: newInstanceList(), mux: http.NewServeMux()}
	s.mux.HandleFunc("POST "+gateway.PathRange, storeHandler(s, false, s.kv.get))
	s.mux.HandleFunc("POST "+gateway.PathPut, storeHandler(s, true, s.kv.put))
	s.mux.HandleFunc("POST "+gateway.PathDeleteRange, storeHandler(s, true, s.kv.delete))
	s.mux.HandleFunc("POST "+gateway.PathTxn, storeHandler(s, true, s.kv.txn))
	s.mux.HandleFunc("POST "+gateway.PathWatch, s.watch)
	s.mux.HandleFunc("GET /v1/instances", s.getInstances)
	s.mux.HandleFunc("POST /v1/instances", s.postInstance)
	s.mux.HandleFunc("DELETE /v1/instances/{name}", s.deleteInstance)
	s.mux.HandleFunc("GET /v1/faults", s.getFaults)
	s.mux.HandleFunc("POST /v1/faults", s.postFaults)
	s.mux.HandleFunc("GET /v1/calls", s.getCalls)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// storeHandler returns the HTTP handler of one operation of the store. With
// write, the fault that loses replies applies to it.
func storeHandler[Req, Resp any](s *Server, write bool, handle func(Req) Resp) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		var req Req
		if !readJSON(w, r, &req) || !s.faults.admit(w) {
			return
		}
		resp := handle(req)
		if write && s.faults.loseReply() {
			panic(http.ErrAbortHandler) // closes the connection without a reply
		}
		writeJSON(w, resp)
	}
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	var req gateway.WatchRequest
	if !readJSON(w, r, &req) || !s.faults.admit(w) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	next := int64(req.Create.StartRevision)
	if next == 0 {
		next = int64(s.kv.get(gateway.RangeRequest{Key: []byte{0}}).Header.Revision) + 1
	}
	send := newStreamSender(w)
	send(gateway.WatchResponse{Created: true})
	for {
		f, faultsChanged := s.faults.get()
		if f.Outage {
			panic(http.ErrAbortHandler)
		}
		evs, following, changed, ok := s.kv.eventsSince(req.Create, next)
		if !ok {
			send(gateway.WatchResponse{Canceled: true, CompactRevision: gateway.Int64(following)})
			return
		}
		if len(evs) > 0 {
			send(gateway.WatchResponse{Header: gateway.Header{Revision: gateway.Int64(following - 1)}, Events: evs})
		}
		next = following
		select {
		case <-changed:
		case <-faultsChanged:
		case <-r.Context().Done():
			return
		}
	}
}

// newStreamSender returns a function that writes and flushes one message of a
// watch. It ignores write errors: the watch ends with the request's context.
func newStreamSender(w http.ResponseWriter) func(gateway.WatchResponse) {
	enc, flush := json.NewEncoder(w), http.NewResponseController(w)
	return func(resp gateway.WatchResponse) {
		if err := enc.Encode(gateway.WatchMessage{Result: &resp}); err == nil {
			_ = flush.Flush()
		}
	}
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	f, _ := s.faults.get()
	writeJSON(w, f)
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var c FaultChange
	if !readJSON(w, r, &c) {
		return
	}
	if c.Compact {
		s.kv.compact()
	}
	writeJSON(w, s.faults.change(c))
}

// Calls is the reply of GET /v1/calls.
type Calls struct {
	// Store is the number of requests to the store so far. A watch counts as
	// one request.
	Store int64 `json:"store"`
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Calls{Store: s.calls.Load()})
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
