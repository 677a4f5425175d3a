package ticketlog

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/ticket"
	"marigoldfront.dev/infra/gateway"
	"marigoldfront.dev/infra/store"
)

// keyStore serves Put and Get requests from the map keys.
func keyStore(keys map[string][]byte) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(gateway.PathPut, func(w http.ResponseWriter, r *http.Request) {
		var req gateway.PutRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		keys[string(req.Key)] = req.Value
		fmt.Fprint(w, "{}")
	})
	mux.HandleFunc(gateway.PathRange, func(w http.ResponseWriter, r *http.Request) {
		var req gateway.RangeRequest
		var resp gateway.RangeResponse
		_ = json.NewDecoder(r.Body).Decode(&req)
		if v, ok := keys[string(req.Key)]; ok {
			resp.KVs = []gateway.KeyValue{{Key: req.Key, Value: v}}
		}
		_ = json.NewEncoder(w).Encode(resp)
	})
	return mux
}

// largeDirectory returns a configuration whose snapshot needs several parts.
func largeDirectory(t *testing.T) *directory.Directory {
	s := directory.State{Teams: map[string]directory.Team{"t": {Name: "t", Weight: 1}},
		Services: map[string]directory.Service{"s": {Name: "s", Owner: "o", ExpectedMS: 1, MaxAttempts: 1}},
		Targets: map[string]directory.Target{"t": {Name: "t", Services: []string{"s"}, Region: "r", AvailabilityZone: "z",
			Rack: "k", Address: "127.0.0.1:1", Slots: 1, Connections: 1}},
		Callers: map[string]directory.Caller{}}
	for i := range 25_000 {
		n := fmt.Sprintf("c%d", i)
		s.Callers[n] = directory.Caller{Name: n, Team: "t", Owner: "o", Services: []string{"s"},
			TokenSHA256: fmt.Sprintf("%x", sha256.Sum256([]byte(n)))}
	}
	if err := s.Validate().Err(); err != nil {
		t.Fatal(err)
	}
	return directory.New(256, s)
}

// Guards against a snapshot that exceeds the store's maximum value size and is
// not split into parts or not reassembled, and against a snapshot that is used
// although it is damaged or its digest differs from that of its ticket.
func TestSnapshotInParts(t *testing.T) {
	ctx, keys, d := context.Background(), map[string][]byte{}, largeDirectory(t)
	srv := httptest.NewServer(keyStore(keys))
	defer srv.Close()
	l := New(store.New([]string{srv.Listener.Addr().String()}, nil))
	if err := l.writeSnapshot(ctx, d); err != nil {
		t.Fatal(err)
	}
	if len(keys) < 3 {
		t.Fatalf("%d keys, want a header and several parts", len(keys))
	}
	for k, v := range keys {
		if len(v) > 1_000_000 {
			t.Errorf("%s has %d bytes", k, len(v))
		}
	}
	tk := ticket.Ticket{Number: 256, Base: 255, Nonce: "n", Author: "a", Digest: d.Digest}
	keys[ticketKey(256)], _ = ticket.Encode(tk)
	got, err := l.readSnapshot(ctx, 256)
	if err != nil || got == nil || got.Digest != d.Digest {
		t.Fatalf("got %v, %v", got, err)
	}
	tk.Digest++
	keys[ticketKey(256)], _ = ticket.Encode(tk)
	if got, _ := l.readSnapshot(ctx, 256); got != nil {
		t.Error("a snapshot whose digest differs from that of its ticket was used")
	}
	keys[partKey(256, 2)][0] ^= 1
	if got, err := l.readSnapshot(ctx, 256); got != nil || err != nil {
		t.Errorf("damaged part: %v, %v", got, err)
	}
}
