// Package readmission decides when the clients whose requests were refused should send
// them again: spread over the time in which there is likely to be room for them. The
// package has no I/O, clocks or goroutines.
package readmission

import (
	"math"
	"time"
)

const (
	// minDelay and maxDelay bound the time after which a client is told to return.
	minDelay = time.Second
	maxDelay = 30 * time.Second
	// averagePeriod is the time constant of the average of what becomes free.
	averagePeriod = 5 * time.Second
)

// Schedule assigns the times at which clients return. A Schedule is not safe for
// concurrent use.
type Schedule struct {
	minRate float64
	// next is when the client that is refused next should return.
	next time.Time
	// freed is the average of the bytes that become free, at a time.
	freed float64
	at    time.Time
}

// New returns a Schedule. In minRate, in bytes per second, room becomes free at least.
func New(minRate float64) *Schedule { return &Schedule{minRate: max(minRate, 1)} }

// Free records that a request that was served has released memory, in bytes.
func (s *Schedule) Free(now time.Time, bytes int64) {
	s.freed = s.freedAt(now) + float64(bytes)
	s.at = now
}

// Delay returns after which time, 1 to 30 s, a client should return whose request takes
// memory, in bytes. Each client gets the time after the previous one for which room will
// have become free. After the last possible time, the times between the first ones follow.
func (s *Schedule) Delay(now time.Time, bytes int64) time.Duration {
	if s.next.Before(now.Add(minDelay)) {
		s.next = now.Add(minDelay)
	}
	for s.next.After(now.Add(maxDelay)) {
		s.next = s.next.Add(minDelay - maxDelay)
	}
	delay := s.next.Sub(now)
	rate := max(s.minRate, s.freedAt(now)/averagePeriod.Seconds())
	s.next = s.next.Add(min(time.Duration(float64(bytes)/rate*float64(time.Second)), maxDelay))
	return delay
}

func (s *Schedule) freedAt(now time.Time) float64 {
	return s.freed * math.Exp(-now.Sub(s.at).Seconds()/averagePeriod.Seconds())
}
