package dispatch

import (
	"cmp"
	"slices"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/session"
)

// The bounds of one HandOver action; the answers' size is exceeded by at most
// one session.
const (
	handOverSessions = 200
	handOverBytes    = 1 << 20
)

// maxRemoved bounds the memory of removed imported sessions. Beyond it no
// session is imported any more, which is safe: its ids are answered Unknown.
const maxRemoved = 65_536

// maxSeq bounds the sequence numbers of imported records, far from overflow.
const maxSeq = 1 << 62

// drain seals every session. Sealing comes before anything is handed over, so
// that no submission is admitted at two homes.
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
	var part []SessionRecord
	size := 0
	for _, id := range ids {
		r, n := recordOf(d.sessions[id])
		part = append(part, r)
		size += n
		if len(part) >= handOverSessions || size >= handOverBytes {
			d.emit(HandOver{Records: part})
			part, size = nil, 0
		}
	}
	if len(part) > 0 {
		d.emit(HandOver{Records: part})
	}
}

// recordOf returns a session as it is handed over, and its answers' size.
func recordOf(e *sessionEntry) (SessionRecord, int) {
	r := SessionRecord{Session: e.id, Caller: e.Caller, LowWater: e.LowWater()}
	size := 0
	for _, k := range e.Records() {
		r.Jobs = append(r.Jobs, JobRecord{Seq: k.Seq, Digest: k.Digest, Answer: k.Answer, Running: k.Running})
		if k.Answer != nil {
			size += session.AnswerSize(k.Answer)
		}
	}
	return r, size
}

// importSessions takes over sessions. Repeating it changes nothing; it is also
// confirmed while draining, so that the predecessor does not wait for a reply
// that was lost.
func (d *Dispatcher) importSessions(ev ImportSessions) {
	if d.draining && !d.tookOver(ev.Records) {
		d.reject(ev.Request, 503, "sessions", "the instance is draining")
		return
	}
	for _, r := range ev.Records {
		d.importSession(r)
	}
	d.emit(ReplyConfirmed{Request: ev.Request})
}

// tookOver says whether an earlier copy of the transfer was accepted.
func (d *Dispatcher) tookOver(records []SessionRecord) bool {
	for _, r := range records {
		_, removed := d.removed[r.Session]
		if d.sessions[r.Session] == nil && !removed {
			return false
		}
	}
	return len(records) > 0
}

// importSession refuses sessions that were removed here after an earlier copy
// of the transfer, because the numbers used in between are forgotten.
func (d *Dispatcher) importSession(r SessionRecord) {
	if d.sessions[r.Session] != nil {
		return
	}
	_, removed := d.removed[r.Session]
	own := r.Session.Incarnation == d.cfg.Incarnation
	if removed || own || r.LowWater > maxSeq || len(d.removed) >= maxRemoved || !d.makeRoom() {
		d.stats.RefusedImports++
		return
	}
	d.stats.ImportedSessions++
	e := d.addSession(r.Session, session.Restore(r.Caller, r.LowWater))
	for _, k := range r.Jobs {
		d.importJob(e, k)
	}
}

func (d *Dispatcher) importJob(e *sessionEntry, k JobRecord) {
	open := k.Running || k.Answer != nil
	if state, _ := e.Lookup(k.Seq); k.Seq == 0 || k.Seq > maxSeq || state == session.Recorded || (state == session.UsedWithoutRecord && !open) {
		return
	}
	record := e.ImportRecord(k.Seq, k.Digest, open)
	switch {
	case k.Running:
		d.opened(e)
		j := &activeJob{id: JobID{Session: e.id, Seq: k.Seq}, session: e, record: record}
		d.jobs[j.id] = j
		d.timers.add(j, d.now.Add(d.cfg.PredecessorTimeout))
	case k.Answer != nil:
		e.Finish(record, k.Answer, d.now, d.keeper)
	}
}

// importAnswers takes over answers of jobs that ran at the predecessor. An
// answer that came before its session is rejected, so that it is sent again.
func (d *Dispatcher) importAnswers(ev ImportAnswers) {
	missing := 0
	for _, f := range ev.Answers {
		j := d.jobs[f.Job]
		_, removed := d.removed[f.Job.Session]
		switch {
		case f.Answer == nil:
		case j != nil && j.rec == nil:
			d.answerRemote(j, f.Answer)
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

// stopNow answers every job that is left.
func (d *Dispatcher) stopNow() {
	d.draining = true
	for _, e := range d.sessions {
		e.Seal()
	}
	for _, j := range d.activeJobs() {
		switch {
		case j.rec == nil:
			d.answerRemote(j, answer.Unknown{Reason: answer.Reason{
				Code:    answer.CodeDraining,
				Message: "the instance stopped before the previous home delivered the answer",
			}})
		case !j.rec.Answered():
			d.fail(j, answer.CodeDraining, "the instance stopped before the job ended")
		}
	}
}

// activeJobs returns the jobs in the order of their ids.
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

// deliver sends the answers that the successor waits for.
func (d *Dispatcher) deliver() {
	if len(d.deliveries) == 0 {
		return
	}
	d.emit(DeliverAnswers{Answers: d.deliveries})
	d.deliveries = nil
}

// finishDrain says once that no job is left without an answer.
func (d *Dispatcher) finishDrain() {
	if d.draining && !d.drained && d.unanswered == 0 {
		d.drained = true
		d.emit(Drained{})
	}
}
