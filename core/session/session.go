// Package session holds the record of one caller session: which sequence
// numbers are used, and the answers that are kept for retries. Whether a number
// is used never depends on time.
package session

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"marigoldfront.dev/core/answer"
)

// WindowSize is the number of sequence numbers, starting at the low-water mark,
// that a session accepts.
const WindowSize = 1024

// Record is one used sequence number.
type Record struct {
	Seq uint64
	// Digest identifies the content of the submission. 0 means that the content
	// is not known; it matches any content.
	Digest uint64
	// Answer is nil while the job runs and after the answer was dropped.
	Answer answer.Answer
	// Running means that the job has no final answer yet.
	Running bool
	// Remote means that the job runs at the previous home instance, which
	// handed the session over.
	Remote bool

	storedAt       time.Time
	size           int
	session        *Session
	sessionElement *list.Element
	cacheElement   *list.Element
}

// Session is the record of one session. It is not safe for concurrent use.
type Session struct {
	// Caller is the name of the caller that owns the session.
	Caller string

	lowWater uint64
	// acknowledgedBelow is the number below which the caller has acknowledged
	// all answers. They need not be kept.
	acknowledgedBelow uint64
	records           map[uint64]*Record
	sealed            bool
	// answers holds the *Record of every kept answer, oldest first.
	answers     *list.List
	answerBytes int
}

// New returns a session of the caller without used numbers.
func New(caller string) *Session {
	return &Session{Caller: caller, lowWater: 1, records: map[uint64]*Record{}, answers: list.New()}
}

// Restore returns a session that was handed over, with its low-water mark and
// without records. The records are added with ImportRecord.
func Restore(caller string, lowWater uint64) *Session {
	s := New(caller)
	s.lowWater = max(lowWater, 1)
	return s
}

// State is the state of a sequence number.
type State int

// The states of a sequence number.
const (
	// Unused numbers are within the window and may be used.
	Unused State = iota + 1
	// Recorded numbers are used and have a record.
	Recorded
	// UsedWithoutRecord numbers are below the low-water mark and have no
	// record. They were used, or the caller acknowledged them without using
	// them.
	UsedWithoutRecord
	// OutsideWindow numbers are 0 or above the window.
	OutsideWindow
)

// Lookup returns the state of a number, and its record if the state is
// Recorded.
func (s *Session) Lookup(seq uint64) (State, *Record) {
	if r := s.records[seq]; r != nil {
		return Recorded, r
	}
	switch {
	case seq == 0:
		return OutsideWindow, nil
	case seq < s.lowWater:
		return UsedWithoutRecord, nil
	case seq-s.lowWater >= WindowSize:
		return OutsideWindow, nil
	}
	return Unused, nil
}

// Admit marks a number as used and returns its record, which is Running. It
// panics if the session is sealed, or if the number is not Unused, because a
// number must not be used twice (guarantee P1).
func (s *Session) Admit(seq, digest uint64) *Record {
	if s.sealed {
		panic(fmt.Sprintf("session of %s: admit %d after the seal", s.Caller, seq))
	}
	return s.markUsed(seq, digest)
}

// Refuse marks a number as used for a submission that is refused and never
// runs. Unlike Admit, it is allowed after Seal, as long as the session has not
// been handed over to a successor. It panics if the number is not Unused.
func (s *Session) Refuse(seq, digest uint64) *Record {
	return s.markUsed(seq, digest)
}

func (s *Session) markUsed(seq, digest uint64) *Record {
	if state, _ := s.Lookup(seq); state != Unused {
		panic(fmt.Sprintf("session of %s: second use of sequence number %d, state %d", s.Caller, seq, state))
	}
	r := &Record{Seq: seq, Digest: digest, Running: true}
	s.records[seq] = r
	s.advance()
	return r
}

// ImportRecord adds a number that was used at the previous home instance. If
// running is true, the answer must be set with Finish, either immediately or
// when the previous home instance delivers it.
func (s *Session) ImportRecord(seq, digest uint64, running bool) *Record {
	r := &Record{Seq: seq, Digest: digest, Running: running, Remote: running}
	s.records[seq] = r
	s.advance()
	return r
}

// advance moves the low-water mark past the used numbers that follow it and
// removes the records that are no longer needed.
func (s *Session) advance() {
	for {
		r := s.records[s.lowWater]
		if r == nil {
			return
		}
		s.lowWater++
		s.removeIfUnneeded(r)
	}
}

// removeIfUnneeded removes a record whose number is below the low-water mark,
// whose job is not running and whose answer is not kept.
func (s *Session) removeIfUnneeded(r *Record) {
	if r.Seq < s.lowWater && !r.Running && r.Answer == nil {
		delete(s.records, r.Seq)
	}
}

// Finish stores the final answer of a record and enforces the limits of the
// cache, which may drop this answer immediately. The answer is not stored if the
// caller has already acknowledged the number.
func (s *Session) Finish(r *Record, a answer.Answer, now time.Time, cache *AnswerCache) {
	if r.Answer != nil {
		panic(fmt.Sprintf("session of %s: second answer for sequence number %d", s.Caller, r.Seq))
	}
	r.Running = false
	r.Remote = false
	if r.Seq >= s.acknowledgedBelow {
		r.Answer = a
		cache.add(s, r, now)
	}
	s.removeIfUnneeded(r)
}

// CanAcknowledge reports whether Acknowledge may be called with this number: it
// must not be beyond the end of the window.
func (s *Session) CanAcknowledge(below uint64) bool {
	return below <= s.lowWater || below-s.lowWater <= WindowSize
}

// Acknowledge drops the answers of all numbers below the given one and moves
// the low-water mark up to it. Unused numbers below it can no longer be used.
func (s *Session) Acknowledge(below uint64, cache *AnswerCache) {
	s.acknowledgedBelow = max(s.acknowledgedBelow, below)
	for e := s.answers.Front(); e != nil; {
		r := e.Value.(*Record)
		e = e.Next()
		if r.Seq < below {
			cache.drop(s, r)
		}
	}
	for s.lowWater < below {
		r := s.records[s.lowWater]
		s.lowWater++
		if r != nil {
			s.removeIfUnneeded(r)
		}
	}
	s.advance()
}

// Seal stops the admission of jobs permanently.
func (s *Session) Seal() { s.sealed = true }

// Sealed reports whether Seal was called.
func (s *Session) Sealed() bool { return s.sealed }

// LowWater returns the low-water mark. Every number below it counts as used.
func (s *Session) LowWater() uint64 { return s.lowWater }

// Records returns the records, sorted by number.
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

// Close drops all kept answers of the session from the cache.
func (s *Session) Close(cache *AnswerCache) {
	for e := s.answers.Front(); e != nil; e = s.answers.Front() {
		cache.drop(s, e.Value.(*Record))
	}
}

// WasUsed reports whether a number was used, or was acknowledged by the caller
// without being used.
func (s *Session) WasUsed(seq uint64) bool {
	state, _ := s.Lookup(seq)
	return state == Recorded || state == UsedWithoutRecord
}
