package session

import (
	"container/list"
	"fmt"
	"time"

	"marigoldfront.dev/core/answer"
)

// AnswerLimits limits the answers that are kept for retries of a submission.
type AnswerLimits struct {
	// Answers and Bytes limit the number and the total size of the answers of
	// each session.
	Answers int
	Bytes   int
	// TotalBytes limits the total size of the answers of all sessions.
	TotalBytes int
	// Age limits how long an answer is kept.
	Age time.Duration
}

// AnswerCache enforces AnswerLimits over all sessions of an instance. It evicts
// the oldest answers first. It is not safe for concurrent use.
type AnswerCache struct {
	limits AnswerLimits
	// answers holds the *Record of every kept answer, oldest first.
	answers *list.List
	bytes   int
}

// NewAnswerCache returns an empty AnswerCache.
func NewAnswerCache(l AnswerLimits) *AnswerCache {
	return &AnswerCache{limits: l, answers: list.New()}
}

func (c *AnswerCache) add(s *Session, r *Record, now time.Time) {
	r.storedAt = now
	r.size = AnswerSize(r.Answer)
	r.sessionElement = s.answers.PushBack(r)
	r.session = s
	r.cacheElement = c.answers.PushBack(r)
	s.answerBytes += r.size
	c.bytes += r.size
	for s.answers.Len() > c.limits.Answers || s.answerBytes > c.limits.Bytes {
		c.drop(s, s.answers.Front().Value.(*Record))
	}
	for c.bytes > c.limits.TotalBytes {
		c.dropOldest()
	}
}

func (c *AnswerCache) dropOldest() {
	r := c.answers.Front().Value.(*Record)
	c.drop(r.session, r)
}

func (c *AnswerCache) drop(s *Session, r *Record) {
	s.answers.Remove(r.sessionElement)
	c.answers.Remove(r.cacheElement)
	s.answerBytes -= r.size
	c.bytes -= r.size
	r.sessionElement, r.cacheElement, r.Answer = nil, nil, nil
	s.removeIfUnneeded(r)
}

// Expire drops the answers that have reached the maximum age.
func (c *AnswerCache) Expire(now time.Time) {
	for c.answers.Len() > 0 && !now.Before(c.NextExpiry()) {
		c.dropOldest()
	}
}

// NextExpiry returns the time at which the oldest answer expires, or the zero
// time if the cache is empty.
func (c *AnswerCache) NextExpiry() time.Time {
	if c.answers.Len() == 0 {
		return time.Time{}
	}
	return c.answers.Front().Value.(*Record).storedAt.Add(c.limits.Age)
}

// Len returns the number of kept answers.
func (c *AnswerCache) Len() int { return c.answers.Len() }

// Bytes returns the total size of the kept answers.
func (c *AnswerCache) Bytes() int { return c.bytes }

// answerOverhead is the size that is counted for an answer in addition to its
// message or results, in bytes.
const answerOverhead = 64

// AnswerSize returns the size of an answer in bytes, as AnswerLimits counts it.
func AnswerSize(a answer.Answer) int {
	switch a := a.(type) {
	case answer.Complete:
		n := answerOverhead
		for _, r := range a.Results {
			n += len(r)
		}
		return n
	case answer.Failed:
		return answerOverhead + len(a.Reason.Message)
	case answer.NotRun:
		return answerOverhead + len(a.Reason.Message)
	case answer.Unknown:
		return answerOverhead + len(a.Reason.Message)
	}
	panic(fmt.Sprintf("session: unknown answer %T", a))
}
