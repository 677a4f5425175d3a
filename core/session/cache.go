package session

import (
	"container/list"
	"time"

	"marigoldfront.dev/core/answer"
)

// AnswerLimits bounds the answers that are kept for later copies of a submission.
type AnswerLimits struct {
	// Answers and Bytes bound each session.
	Answers int
	Bytes   int
	// TotalBytes bounds all sessions of the instance.
	TotalBytes int
	// Age is the longest time that an answer is kept.
	Age time.Duration
}

// AnswerCache applies the bounds over all sessions of an instance, oldest answer
// first.
type AnswerCache struct {
	limits AnswerLimits
	all    *list.List
	bytes  int
}

// NewAnswerCache returns an AnswerCache without answers.
func NewAnswerCache(l AnswerLimits) *AnswerCache {
	return &AnswerCache{limits: l, all: list.New()}
}

func (k *AnswerCache) add(s *Session, r *Record, now time.Time) {
	r.at = now
	r.size = AnswerSize(r.Answer)
	r.own = s.kept.PushBack(r)
	r.session = s
	r.global = k.all.PushBack(r)
	s.bytes += r.size
	k.bytes += r.size
	for s.kept.Len() > k.limits.Answers || s.bytes > k.limits.Bytes {
		k.drop(s, s.kept.Front().Value.(*Record))
	}
	for k.bytes > k.limits.TotalBytes {
		k.dropOldest()
	}
}

func (k *AnswerCache) dropOldest() {
	r := k.all.Front().Value.(*Record)
	k.drop(r.session, r)
}

func (k *AnswerCache) drop(s *Session, r *Record) {
	s.kept.Remove(r.own)
	k.all.Remove(r.global)
	s.bytes -= r.size
	k.bytes -= r.size
	r.own, r.global, r.Answer = nil, nil, nil
	s.forget(r)
}

// Expire drops the answers that are older than the limit.
func (k *AnswerCache) Expire(now time.Time) {
	for k.all.Len() > 0 && !now.Before(k.NextExpiry()) {
		k.dropOldest()
	}
}

// NextExpiry is the time at which the oldest answer expires, or zero.
func (k *AnswerCache) NextExpiry() time.Time {
	if k.all.Len() == 0 {
		return time.Time{}
	}
	return k.all.Front().Value.(*Record).at.Add(k.limits.Age)
}

// Len is the number of kept answers.
func (k *AnswerCache) Len() int { return k.all.Len() }

// Bytes is their size.
func (k *AnswerCache) Bytes() int { return k.bytes }

// overhead is the size of an answer without its texts and results, in bytes.
const overhead = 64

// AnswerSize is the size of an answer in bytes, as the bounds count it.
func AnswerSize(a answer.Answer) int {
	switch a := a.(type) {
	case answer.Complete:
		n := overhead
		for _, r := range a.Results {
			n += len(r)
		}
		return n
	case answer.Failed:
		return overhead + len(a.Reason.Message)
	case answer.NotRun:
		return overhead + len(a.Reason.Message)
	case answer.Unknown:
		return overhead + len(a.Reason.Message)
	}
	panic("session: unknown kind of answer")
}
