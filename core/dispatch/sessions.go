package dispatch

import (
	"fmt"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/core/session"
)

// String returns the id in the form incarnation/number.
func (id SessionID) String() string {
	return fmt.Sprintf("%x/%d", id.Incarnation, id.Number)
}

// String returns the id in the form incarnation/number/seq.
func (id JobID) String() string {
	return fmt.Sprintf("%s/%d", id.Session, id.Seq)
}

func (d *Dispatcher) openSession(ev OpenSession) {
	switch {
	case d.draining:
		d.reject(ev.Request, 503, "session", "the instance is draining")
		return
	case d.dir == nil:
		d.reject(ev.Request, 503, "session", "the instance has no configuration")
		return
	}
	if _, ok := d.dir.State.Callers[ev.Caller]; !ok {
		d.reject(ev.Request, 403, "caller", "caller %q is not configured", ev.Caller)
		return
	}
	if !d.ensureSessionCapacity() {
		d.reject(ev.Request, 429, "session", "the instance holds %d sessions and none is idle", len(d.sessions))
		return
	}
	d.nextSession++
	id := SessionID{Incarnation: d.cfg.Incarnation, Number: d.nextSession}
	d.addSession(id, session.New(ev.Caller))
	d.emit(ReplySession{Request: ev.Request, Session: id})
}

func (d *Dispatcher) addSession(id SessionID, s *session.Session) *sessionEntry {
	e := &sessionEntry{Session: s, id: id, lastUsed: d.now}
	e.lruElement = d.sessionLRU.PushBack(e)
	d.sessions[id] = e
	return e
}

// ensureSessionCapacity evicts the least recently used session if the limit of
// sessions is reached and that session is idle. It reports whether another
// session can be added.
func (d *Dispatcher) ensureSessionCapacity() bool {
	if len(d.sessions) < d.cfg.MaxSessions {
		return true
	}
	e := d.sessionLRU.Front().Value.(*sessionEntry)
	if e.unanswered > 0 || d.now.Sub(e.lastUsed) < d.cfg.SessionIdleTimeout {
		return false
	}
	d.stats.EvictedSessions++
	d.removeSession(e)
	return true
}

// removeSession removes a session. Later requests for it are answered Unknown.
func (d *Dispatcher) removeSession(e *sessionEntry) {
	if d.violates(e.unanswered == 0) {
		panic(fmt.Sprintf("dispatch: session %s is removed with %d active jobs", e.id, e.unanswered))
	}
	e.Close(d.answerCache)
	d.sessionLRU.Remove(e.lruElement)
	delete(d.sessions, e.id)
	if e.id.Incarnation != d.cfg.Incarnation {
		d.removedImports[e.id] = struct{}{}
	}
}

// findSession returns the session of a request. If the session does not exist or
// belongs to another caller, it replies to the request and returns nil.
func (d *Dispatcher) findSession(req RequestID, id SessionID, caller string) *sessionEntry {
	e := d.sessions[id]
	if e == nil {
		d.answerRequest(req, d.unknownSession(id))
		return nil
	}
	if e.Caller != caller {
		d.reject(req, 403, "session", "the session belongs to another caller")
		return nil
	}
	e.lastUsed = d.now
	d.sessionLRU.MoveToBack(e.lruElement)
	return e
}

func (d *Dispatcher) unknownSession(id SessionID) answer.Unknown {
	r := answer.Reason{Code: answer.CodeSessionUnknown, Message: "the session is closed or was evicted"}
	if id.Incarnation != d.cfg.Incarnation {
		r = answer.Reason{Code: answer.CodeHomeReplaced, Message: "the session's home has ended"}
	}
	return answer.Unknown{Reason: r}
}

func (d *Dispatcher) acknowledge(ev Acknowledge) {
	e := d.findSession(ev.Request, ev.Session, ev.Caller)
	switch {
	case e == nil:
	case d.isHandedOver(e):
		d.replyHandedOver(ev.Request)
	case !e.CanAcknowledge(ev.Below):
		d.reject(ev.Request, 422, "acknowledged_below", "the number is outside of the window at %d", e.LowWater())
	default:
		e.Acknowledge(ev.Below, d.answerCache)
		d.emit(ReplyConfirmed{Request: ev.Request})
	}
}

// closeSession cancels the jobs of a session and then removes the session.
func (d *Dispatcher) closeSession(ev CloseSession) {
	e := d.findSession(ev.Request, ev.Session, ev.Caller)
	switch {
	case e == nil:
		return
	case d.isHandedOver(e):
		d.replyHandedOver(ev.Request)
		return
	}
	for _, r := range e.Records() {
		if j := d.jobs[JobID{Session: e.id, Seq: r.Seq}]; j != nil && r.Running {
			d.cancelJob(j)
		}
	}
	d.removeSession(e)
	d.emit(ReplyConfirmed{Request: ev.Request})
}

// cancelJob ends a job at its caller's request.
func (d *Dispatcher) cancelJob(j *activeJob) {
	if j.state == nil {
		d.finishRemote(j, answer.Unknown{Reason: answer.Reason{
			Code:    answer.CodeCancelled,
			Message: "the session was closed while the job ran at its previous home",
		}})
		return
	}
	d.fail(j, answer.CodeCancelled, "the job was cancelled")
}

// isHandedOver reports whether the session has been handed over to the successor.
func (d *Dispatcher) isHandedOver(e *sessionEntry) bool {
	return d.handedOver && e.Sealed()
}

func (d *Dispatcher) replyHandedOver(req RequestID) {
	d.stats.HandedOverRequests++
	d.emit(ReplyHandedOver{Request: req})
}

func (d *Dispatcher) reject(req RequestID, status int, place, format string, args ...any) {
	var l finding.List
	l.Add(place, format, args...)
	d.stats.Rejected++
	d.emit(ReplyRejected{Request: req, Status: status, Findings: l})
}
