package dispatch

import (
	"cmp"
	"slices"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/session"
)

// The limits of one HandOver action: the number of its sessions and the total
// size of their answers. A session is never split, so that the last session of an
// action may take it above maxHandOverBytes.
const (
	maxHandOverSessions = 200
	maxHandOverBytes    = 1 << 20
)

// maxRemovedImports bounds the number of removed imported sessions that are
// remembered. When it is reached, no further session is imported. That is safe,
// because requests for a session that was not imported are answered Unknown.
const maxRemovedImports = 65_536

// maxSeq bounds the sequence numbers of imported records, so that computations
// with them cannot overflow.
const maxSeq = 1 << 62

// drain seals every session and then hands the sessions over, if there is a
// successor. All sessions are sealed first, so that no submission is admitted at
// two instances.
func (d *Dispatcher) drain(ev Drain) {
	if d.draining {
		return
	}
	d.draining = true
	d.handedOver = ev.HasSuccessor
	ids := d.sessionIDs()
	for _, id := range ids {
		d.sessions[id].Seal()
	}
	if ev.HasSuccessor {
		d.handOver(ids)
	}
}

func (d *Dispatcher) sessionIDs() []SessionID {
	ids := make([]SessionID, 0, len(d.sessions))
	for id := range d.sessions {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b SessionID) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Number, b.Number))
	})
	return ids
}

func (d *Dispatcher) handOver(ids []SessionID) {
	var batch []SessionRecord
	size := 0
	for _, id := range ids {
		r, n := sessionRecord(d.sessions[id])
		batch = append(batch, r)
		size += n
		if len(batch) >= maxHandOverSessions || size >= maxHandOverBytes {
			d.emit(HandOver{Records: batch})
			batch, size = nil, 0
		}
	}
	if len(batch) > 0 {
		d.emit(HandOver{Records: batch})
	}
}

// sessionRecord returns the record of a session for the handover, and the size of
// its answers in bytes.
func sessionRecord(e *sessionEntry) (SessionRecord, int) {
	r := SessionRecord{Session: e.id, Caller: e.Caller, LowWater: e.LowWater()}
	size := 0
	for _, job := range e.Records() {
		r.Jobs = append(r.Jobs, JobRecord{Seq: job.Seq, Digest: job.Digest, Answer: job.Answer, Running: job.Running})
		if job.Answer != nil {
			size += session.AnswerSize(job.Answer)
		}
	}
	return r, size
}

// importSessions imports sessions. It is idempotent. A repeated import is
// confirmed even while the instance drains, because the predecessor repeats it
// if the first confirmation was lost.
func (d *Dispatcher) importSessions(ev ImportSessions) {
	if d.draining && !d.alreadyImported(ev.Records) {
		d.reject(ev.Request, 503, "sessions", "the instance is draining")
		return
	}
	for _, r := range ev.Records {
		d.importSession(r)
	}
	d.emit(ReplyConfirmed{Request: ev.Request})
}

// alreadyImported reports whether an earlier copy of the transfer was accepted.
func (d *Dispatcher) alreadyImported(records []SessionRecord) bool {
	for _, r := range records {
		_, removed := d.removedImports[r.Session]
		if d.sessions[r.Session] == nil && !removed {
			return false
		}
	}
	return len(records) > 0
}

// importSession imports a session that is not present yet. It refuses a session
// that was imported and then removed, because the sequence numbers used in
// between are no longer recorded.
func (d *Dispatcher) importSession(r SessionRecord) {
	if d.sessions[r.Session] != nil {
		return
	}
	_, removed := d.removedImports[r.Session]
	own := r.Session.Incarnation == d.cfg.Incarnation
	if removed || own || r.LowWater > maxSeq || len(d.removedImports) >= maxRemovedImports || !d.ensureSessionCapacity() {
		d.stats.RefusedImports++
		return
	}
	d.stats.ImportedSessions++
	e := d.addSession(r.Session, session.Restore(r.Caller, r.LowWater))
	for _, job := range r.Jobs {
		d.importJob(e, job)
	}
}

func (d *Dispatcher) importJob(e *sessionEntry, r JobRecord) {
	unanswered := r.Running || r.Answer != nil
	if state, _ := e.Lookup(r.Seq); r.Seq == 0 || r.Seq > maxSeq || state == session.Recorded || (state == session.UsedWithoutRecord && !unanswered) {
		return
	}
	record := e.ImportRecord(r.Seq, r.Digest, unanswered)
	switch {
	case r.Running:
		d.countUnanswered(e)
		j := &activeJob{id: JobID{Session: e.id, Seq: r.Seq}, session: e, record: record}
		d.jobs[j.id] = j
		d.timers.add(j, d.now.Add(d.cfg.PredecessorTimeout))
	case r.Answer != nil:
		e.Finish(record, r.Answer, d.now, d.answerCache)
	}
}

// importAnswers imports answers of jobs that ran at the predecessor. It rejects
// the request if an answer arrived before its session, so that the predecessor
// sends the answers again.
func (d *Dispatcher) importAnswers(ev ImportAnswers) {
	missing := 0
	for _, f := range ev.Answers {
		j := d.jobs[f.Job]
		_, removed := d.removedImports[f.Job.Session]
		switch {
		case f.Answer == nil:
		case j != nil && j.state == nil:
			d.finishRemote(j, f.Answer)
		case d.sessions[f.Job.Session] == nil && !removed:
			missing++
		}
	}
	if missing > 0 {
		d.reject(ev.Request, 422, "answers", "%d answers belong to sessions that are not known here", missing)
		return
	}
	d.emit(ReplyConfirmed{Request: ev.Request})
}

// stopNow answers every job that has no answer yet.
func (d *Dispatcher) stopNow() {
	d.draining = true
	for _, e := range d.sessions {
		e.Seal()
	}
	for _, j := range d.activeJobs() {
		switch {
		case j.state == nil:
			d.finishRemote(j, answer.Unknown{Reason: answer.Reason{
				Code:    answer.CodeDraining,
				Message: "the instance stopped before the previous home delivered the answer",
			}})
		case !j.state.Answered():
			d.fail(j, answer.CodeDraining, "the instance stopped before the job ended")
		}
	}
}

// activeJobs returns the active jobs, ordered by id.
func (d *Dispatcher) activeJobs() []*activeJob {
	all := make([]*activeJob, 0, len(d.jobs))
	for _, j := range d.jobs {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *activeJob) int {
		return cmp.Or(
			cmp.Compare(a.id.Session.Incarnation, b.id.Session.Incarnation),
			cmp.Compare(a.id.Session.Number, b.id.Session.Number),
			cmp.Compare(a.id.Seq, b.id.Seq))
	})
	return all
}

// deliverAnswers sends the successor the answers to handed-over jobs that have
// become final.
func (d *Dispatcher) deliverAnswers() {
	if len(d.undelivered) == 0 {
		return
	}
	d.emit(DeliverAnswers{Answers: d.undelivered})
	d.undelivered = nil
}

// reportDrained emits Drained once, when no job is left without an answer.
func (d *Dispatcher) reportDrained() {
	if d.draining && !d.drained && d.unanswered == 0 {
		d.drained = true
		d.emit(Drained{})
	}
}
