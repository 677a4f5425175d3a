// Package platform implements a stand-in for the platform. It serves the
// key-value store, the instance list, and controls that inject faults into both.
package platform

import (
	"bytes"
	"slices"
	"strings"
	"sync"

	"marigoldfront.dev/infra/gateway"
)

// kv is a key-value store with revisions. It keeps the events since the last
// compaction for watches.
type kv struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]gateway.KeyValue
	history  []gateway.Event
	// compacted is the oldest revision whose events are kept.
	compacted int64
	// changed is closed and replaced on each change.
	changed chan struct{}
}

func newKV() *kv {
	return &kv{revision: 1, keys: map[string]gateway.KeyValue{}, changed: make(chan struct{})}
}

// inRange reports whether key is in the range. As in etcd, an empty end means
// the single key from, and the end "\x00" means all keys not below from.
func inRange(key, from, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, from)
	case bytes.Equal(end, []byte{0}):
		return bytes.Compare(key, from) >= 0
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

func (s *kv) header() gateway.Header { return gateway.Header{Revision: gateway.Int64(s.revision)} }

func (s *kv) get(r gateway.RangeRequest) gateway.RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.getLocked(r)
}

func (s *kv) getLocked(r gateway.RangeRequest) gateway.RangeResponse {
	resp := gateway.RangeResponse{Header: s.header()}
	for _, k := range s.keys {
		if inRange(k.Key, r.Key, r.RangeEnd) {
			resp.KVs = append(resp.KVs, k)
		}
	}
	slices.SortFunc(resp.KVs, func(a, b gateway.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	if r.SortOrder == gateway.Descend {
		slices.Reverse(resp.KVs)
	}
	resp.Count = gateway.Int64(len(resp.KVs))
	if r.Limit > 0 && int64(len(resp.KVs)) > int64(r.Limit) {
		resp.KVs, resp.More = resp.KVs[:r.Limit], true
	}
	if r.KeysOnly {
		for i := range resp.KVs {
			resp.KVs[i].Value = nil
		}
	}
	return resp
}

func (s *kv) put(r gateway.PutRequest) gateway.PutResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(r)
	return gateway.PutResponse{Header: s.header()}
}

func (s *kv) putLocked(r gateway.PutRequest) {
	s.revision++
	k, ok := s.keys[string(r.Key)]
	if !ok {
		k = gateway.KeyValue{Key: r.Key, CreateRevision: gateway.Int64(s.revision)}
	}
	k.Value, k.ModRevision = r.Value, gateway.Int64(s.revision)
	k.Version++
	s.keys[string(r.Key)] = k
	s.record(gateway.Event{KV: k})
}

func (s *kv) record(ev gateway.Event) {
	s.history = append(s.history, ev)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kv) delete(r gateway.DeleteRangeRequest) gateway.DeleteRangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.getLocked(gateway.RangeRequest{Key: r.Key, RangeEnd: r.RangeEnd}).KVs
	if len(found) > 0 {
		s.revision++
	}
	for _, k := range found {
		delete(s.keys, string(k.Key))
		tombstone := gateway.KeyValue{Key: k.Key, ModRevision: gateway.Int64(s.revision)}
		s.record(gateway.Event{Type: gateway.EventDelete, KV: tombstone})
	}
	return gateway.DeleteRangeResponse{Header: s.header(), Deleted: gateway.Int64(len(found))}
}

func (s *kv) txn(r gateway.TxnRequest) gateway.TxnResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := !slices.ContainsFunc(r.Compare, func(c gateway.Compare) bool { return !s.compareHolds(c) })
	ops := r.Failure
	if ok {
		ops = r.Success
	}
	resp := gateway.TxnResponse{Succeeded: ok}
	for _, op := range ops {
		var out gateway.ResponseOp
		if op.Put != nil {
			s.putLocked(*op.Put)
			out.Put = &gateway.PutResponse{Header: s.header()}
		}
		if op.Range != nil {
			found := s.getLocked(*op.Range)
			out.Range = &found
		}
		resp.Responses = append(resp.Responses, out)
	}
	resp.Header = s.header()
	return resp
}

// compareHolds reports whether a condition of a transaction is true. A missing
// key has the revisions 0.
func (s *kv) compareHolds(c gateway.Compare) bool {
	k := s.keys[string(c.Key)]
	have, want := k.ModRevision, c.ModRevision
	if c.Target == gateway.TargetCreate {
		have, want = k.CreateRevision, c.CreateRevision
	}
	if strings.EqualFold(c.Result, gateway.Greater) {
		return have > want
	}
	return have == want
}

// compact deletes the events before the current revision.
func (s *kv) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = slices.DeleteFunc(s.history, func(ev gateway.Event) bool {
		return int64(ev.KV.ModRevision) < s.compacted
	})
}

// eventsSince returns the events of a range from a revision on, the revision to
// continue from, and a channel that is closed on the next change. If some of the
// events are compacted, ok is false and next is the oldest revision kept.
func (s *kv) eventsSince(c gateway.WatchCreate, from int64) (evs []gateway.Event, next int64, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.compacted {
		return nil, s.compacted, nil, false
	}
	for _, ev := range s.history {
		if int64(ev.KV.ModRevision) >= from && inRange(ev.KV.Key, c.Key, c.RangeEnd) {
			evs = append(evs, ev)
		}
	}
	return evs, max(from, s.revision+1), s.changed, true
}
