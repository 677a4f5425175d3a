package session

import (
	"math/rand/v2"
	"testing"
	"time"

	"marigoldfront.dev/core/answer"
)

var limits = AnswerLimits{Answers: 256, Bytes: 1 << 20, TotalBytes: 64 << 20, Age: 10 * time.Minute}

func complete(size int) answer.Complete {
	return answer.Complete{Results: [][]byte{make([]byte, size)}}
}

// Guards against a used number that becomes available again after its answer
// was dropped, acknowledged or expired, or after a handover (guarantee P1).
func TestSequenceNumberIsUsedOnce(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(1, seed))
		cache := NewAnswerCache(AnswerLimits{Answers: 3, Bytes: 500, TotalBytes: 500, Age: time.Minute})
		s := New("shop")
		now := time.Unix(0, 0)
		used := map[uint64]bool{}
		var running []*Record
		for range 200 {
			seq := rng.Uint64N(1500)
			switch state, _ := s.Lookup(seq); rng.IntN(6) {
			case 0, 1, 2:
				if used[seq] && state != Recorded && state != UsedWithoutRecord {
					t.Fatalf("seed %d: used number %d has state %d", seed, seq, state)
				}
				if state == Unused {
					used[seq] = true
					running = append(running, s.Admit(seq, 1))
				}
			case 3:
				if len(running) > 0 {
					s.Finish(running[0], complete(int(seq%300)), now, cache)
					running = running[1:]
				}
			case 4:
				if below := seq % 300; s.CanAcknowledge(below) {
					s.Acknowledge(below, cache)
				}
			case 5:
				now = now.Add(20 * time.Second)
				cache.Expire(now)
			}
		}
		checkRestored(t, s, used)
	}
}

// checkRestored checks that every used number is still used after a handover of
// the session.
func checkRestored(t *testing.T, s *Session, used map[uint64]bool) {
	c := Restore(s.Caller, s.LowWater())
	for _, r := range s.Records() {
		c.ImportRecord(r.Seq, r.Digest, r.Running)
	}
	for seq := range used {
		if !c.WasUsed(seq) {
			t.Fatalf("number %d is not used in the restored session", seq)
		}
	}
}

// Guards against unbounded memory use if callers never acknowledge answers, and
// against dropping an answer although the limits allow it to be kept.
func TestAnswerLimits(t *testing.T) {
	tests := map[string]struct {
		sessions, answers, size int
		kept                    int
	}{
		"within every limit":    {1, 256, 100, 256},
		"more than 256 answers": {1, 300, 100, 256},
		"more than 1 MiB":       {1, 20, 100<<10 - answerOverhead, 10},
		"one answer over 1 MiB": {1, 1, 2 << 20, 0},
		"more than 64 MiB":      {70, 1, 1<<20 - answerOverhead, 64},
	}
	for name, tt := range tests {
		cache := NewAnswerCache(limits)
		var last *Session
		for range tt.sessions {
			last = New("shop")
			for i := range tt.answers {
				r := last.Admit(uint64(i+1), 1)
				last.Finish(r, complete(tt.size), time.Unix(0, 0), cache)
			}
		}
		if cache.Len() != tt.kept {
			t.Errorf("%s: %d answers are kept, want %d", name, cache.Len(), tt.kept)
		}
		if _, r := last.Lookup(uint64(tt.answers)); tt.kept > 0 && (r == nil || r.Answer == nil) {
			t.Errorf("%s: the newest answer is not kept", name)
		}
		if cache.Expire(time.Unix(0, 0).Add(limits.Age)); cache.Len() != 0 || cache.Bytes() != 0 {
			t.Errorf("%s: %d answers are kept past their age", name, cache.Len())
		}
	}
}

// Guards against a window that does not advance. The session would accept no
// submission after the first 1,024.
func TestWindowAdvances(t *testing.T) {
	cache := NewAnswerCache(limits)
	s := New("shop")
	for seq := uint64(1); seq <= 3*WindowSize; seq++ {
		s.Finish(s.Admit(seq, 1), complete(1), time.Unix(0, 0), cache)
	}
	if state, _ := s.Lookup(4*WindowSize + 1); state != OutsideWindow {
		t.Errorf("number 1,024 above the low-water mark has state %d, want OutsideWindow", state)
	}
	if n := len(s.records); n > limits.Answers {
		t.Errorf("%d records for %d kept answers", n, cache.Len())
	}
}
