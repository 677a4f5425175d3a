// Package session holds the record of one caller session: which sequence
// numbers are used, and the answers that are kept for them. Whether a number
// is used never depends on time.
package session

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"marigoldfront.dev/core/answer"
)

// WindowSize is the number of sequence numbers above the low-water mark that a
// session accepts.
const WindowSize = 1024

// Record is one used sequence number.
type Record struct {
	Seq uint64
	// Digest is over the submission's content; 0 means that it is not known,
	// and any content matches.
	Digest uint64
	// Answer is nil while the job runs and once the answer is no longer kept.
	Answer answer.Answer
	// Running says that the answer is not final.
	Running bool
	// Remote says that the job runs at the home that handed the session over.
	Remote bool

	at      time.Time
	size    int
	session *Session
	own     *list.Element
	global  *list.Element
}

// Session is the record of one session. Its owner serialises all calls.
type Session struct {
	// Caller owns the session.
	Caller string

	low uint64
	// acked is the mark below which the caller wants no answer any more.
	acked   uint64
	records map[uint64]*Record
	sealed  bool
	kept    *list.List
	bytes   int
}

// New returns a session without used numbers.
func New(caller string) *Session {
	return &Session{Caller: caller, low: 1, records: map[uint64]*Record{}, kept: list.New()}
}

// Restore returns a session as it was handed over, with the low-water mark
// and no records; they are added with ImportRecord.
func Restore(caller string, low uint64) *Session {
	s := New(caller)
	s.low = max(low, 1)
	return s
}

// State says what is known of a sequence number.
type State int

// The states of a sequence number.
const (
	// Unused numbers were never used and may be.
	Unused State = iota + 1
	// Recorded numbers were used and have a record.
	Recorded
	// UsedWithoutRecord numbers were used, or given up by the caller, and have no record.
	UsedWithoutRecord
	// OutsideWindow numbers are 0 or above the window.
	OutsideWindow
)

// Lookup returns the state of a number, with its record if it is Recorded.
func (s *Session) Lookup(seq uint64) (State, *Record) {
	if r := s.records[seq]; r != nil {
		return Recorded, r
	}
	switch {
	case seq == 0:
		return OutsideWindow, nil
	case seq < s.low:
		return UsedWithoutRecord, nil
	case seq-s.low >= WindowSize:
		return OutsideWindow, nil
	}
	return Unused, nil
}

// Admit marks a number as used and returns its record, which is Running. It
// panics if the session is sealed or the number is not Unused (P1).
func (s *Session) Admit(seq, digest uint64) *Record {
	if s.sealed {
		panic(fmt.Sprintf("session of %s: admit %d after the seal", s.Caller, seq))
	}
	return s.use(seq, digest)
}

// Refuse marks a number as used for a submission that will never run. Unlike
// Admit it is allowed after the seal, as long as no successor has the session.
func (s *Session) Refuse(seq, digest uint64) *Record {
	return s.use(seq, digest)
}

func (s *Session) use(seq, digest uint64) *Record {
	if state, _ := s.Lookup(seq); state != Unused {
		panic(fmt.Sprintf("session of %s: second use of %d, state %d", s.Caller, seq, state))
	}
	r := &Record{Seq: seq, Digest: digest, Running: true}
	s.records[seq] = r
	s.advance()
	return r
}

// ImportRecord adds a used number of a predecessor. With open set, its answer is to
// be set with Finish, now or once the predecessor delivers it.
func (s *Session) ImportRecord(seq, digest uint64, open bool) *Record {
	r := &Record{Seq: seq, Digest: digest, Running: open, Remote: open}
	s.records[seq] = r
	s.advance()
	return r
}

// advance moves the low-water mark over the used numbers that follow it and
// forgets those without anything to keep.
func (s *Session) advance() {
	for {
		r := s.records[s.low]
		if r == nil {
			return
		}
		s.low++
		s.forget(r)
	}
}

// forget removes a record that neither marks a number above the low-water
// mark nor carries an answer.
func (s *Session) forget(r *Record) {
	if r.Seq < s.low && !r.Running && r.Answer == nil {
		delete(s.records, r.Seq)
	}
}

// Finish stores the final answer of a record and applies the bounds of kept
// answers. The record's own answer may be dropped by them at once.
func (s *Session) Finish(r *Record, a answer.Answer, now time.Time, k *AnswerCache) {
	if r.Answer != nil {
		panic(fmt.Sprintf("session of %s: second answer for %d", s.Caller, r.Seq))
	}
	r.Running = false
	r.Remote = false
	if r.Seq >= s.acked {
		r.Answer = a
		k.add(s, r, now)
	}
	s.forget(r)
}

// CanAcknowledge says whether a mark is within the window.
func (s *Session) CanAcknowledge(below uint64) bool {
	return below <= s.low || below-s.low <= WindowSize
}

// Acknowledge drops the answers below a mark and moves the low-water mark
// there. Numbers below it that were never used can no longer be.
func (s *Session) Acknowledge(below uint64, k *AnswerCache) {
	s.acked = max(s.acked, below)
	for e := s.kept.Front(); e != nil; {
		r := e.Value.(*Record)
		e = e.Next()
		if r.Seq < below {
			k.drop(s, r)
		}
	}
	for s.low < below {
		r := s.records[s.low]
		s.low++
		if r != nil {
			s.forget(r)
		}
	}
	s.advance()
}

// Seal ends admission for good.
func (s *Session) Seal() { s.sealed = true }

// Sealed says whether the session admits nothing any more.
func (s *Session) Sealed() bool { return s.sealed }

// LowWater is the number below which every number counts as used.
func (s *Session) LowWater() uint64 { return s.low }

// Records returns the records in the order of their numbers.
func (s *Session) Records() []*Record {
	all := make([]*Record, 0, len(s.records))
	for _, r := range s.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *Record) int {
		if a.Seq < b.Seq {
			return -1
		}
		return 1
	})
	return all
}

// Close drops all kept answers.
func (s *Session) Close(k *AnswerCache) {
	for e := s.kept.Front(); e != nil; e = s.kept.Front() {
		k.drop(s, e.Value.(*Record))
	}
}

// WasUsed says whether a number was used or given up by the caller.
func (s *Session) WasUsed(seq uint64) bool {
	state, _ := s.Lookup(seq)
	return state == Recorded || state == UsedWithoutRecord
}
