package relay

import (
	"container/list"
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ledger"
	"marigoldfront.dev/wire"
)

const (
	// maxSenders, maxSenderName and maxSenderIDs bound the memory for senders: their
	// number, the bytes of a name, and the job IDs in their last heartbeats. Whoever
	// reaches the listener can invent senders.
	maxSenders    = 4096
	maxSenderName = 255
	maxSenderIDs  = 1 << 18
	// maxAwaitedIDs bounds the job IDs in a heartbeat. An instance has fewer connections.
	maxAwaitedIDs = 1 << 14
	// senderRetention is how long a sender without jobs is remembered. It exceeds the
	// time for which replies are kept.
	senderRetention = time.Minute
)

// sender is another instance that has sent jobs to this one.
type sender struct {
	name        string
	element     *list.Element // in Server.byLastMessage
	incarnation uint64
	lastMessage time.Time
	// jobs holds the jobs without a reply. The ledger holds the state of all jobs of
	// the sender and the replies to those that have ended.
	jobs   map[uint64]senderJob
	ledger *ledger.Ledger[*wire.RunReply]
	// ids is the number of job IDs in the last heartbeat.
	ids int
}

// senderJob is a job that a sender awaits.
type senderJob struct {
	id     string
	cancel context.CancelFunc
}

// recordMessage returns the sender of a message and records when the message was
// sent: one that arrives late does not show that the sender is still there. A new
// incarnation of a sender replaces the previous one, whose jobs are stopped. For a
// late message of a previous incarnation, or a new sender for which there is no room, it
// returns nil. The caller holds the lock.
func (s *Server) recordMessage(name string, incarnation uint64, sent time.Time) *sender {
	p := s.senders[name]
	if p == nil || p.incarnation != incarnation {
		if p != nil {
			if sent.Before(p.lastMessage) {
				return nil
			}
			p.stopAll()
			s.remove(name)
		}
		if len(name) > maxSenderName || !s.makeRoom(nil, 0) {
			return nil
		}
		p = &sender{
			name: name, incarnation: incarnation, jobs: map[uint64]senderJob{},
			ledger: ledger.New[*wire.RunReply](rand.Uint64()),
		}
		p.element = s.byLastMessage.PushBack(p)
		s.senders[name] = p
	}
	s.byLastMessage.MoveToBack(p.element)
	if sent.After(p.lastMessage) {
		p.lastMessage = sent
	}
	return p
}

// stopAll stops all jobs of the sender.
func (p *sender) stopAll() {
	for _, job := range p.jobs {
		job.cancel()
	}
}

// makeRoom makes room for a number of job IDs of a sender, or for a new sender if that is
// nil. The senders without jobs that have been silent for longest are forgotten. It returns
// false if there are not enough of them. The caller holds the lock.
func (s *Server) makeRoom(p *sender, ids int) bool {
	e := s.byLastMessage.Front()
	for p == nil && len(s.senders) >= maxSenders || s.ids+ids > maxSenderIDs {
		for e != nil && (e.Value == p || len(e.Value.(*sender).jobs) > 0) {
			e = e.Next()
		}
		if e == nil {
			return false
		}
		oldest := e.Value.(*sender)
		e = e.Next()
		s.remove(oldest.name)
	}
	return true
}

// remove forgets a sender. The caller holds the lock.
func (s *Server) remove(name string) {
	if p := s.senders[name]; p != nil {
		s.byLastMessage.Remove(p.element)
		s.ids -= p.ids
		delete(s.senders, name)
	}
}

// setIDs records the number of job IDs in a heartbeat. It returns false if there is no room
// for them. The caller holds the lock.
func (s *Server) setIDs(p *sender, ids int) bool {
	if !s.makeRoom(p, ids-p.ids) {
		return false
	}
	s.ids += ids - p.ids
	p.ids = ids
	return true
}

// expireSenders stops the jobs of unresponsive senders, and forgets senders that have long
// been silent.
func (s *Server) expireSenders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock()
	for name, p := range s.senders {
		p.ledger.Expire(now)
		silent := now.Sub(p.lastMessage)
		if len(p.jobs) == 0 && silent >= senderRetention {
			s.remove(name)
			continue
		}
		if len(p.jobs) == 0 || silent < senderTimeout {
			continue
		}
		s.cfg.Log.Warn("A sender is unresponsive; its jobs are stopped.", zap.String("sender", name),
			zap.Int("jobs", len(p.jobs)), zap.Duration("silent", silent))
		p.stopAll()
		s.remove(name)
	}
}
