// Package convert converts between the messages of package wire and the types
// of the core packages.
package convert

import (
	"fmt"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/wire"
)

// ToAnswer converts an answer to a message.
func ToAnswer(a answer.Answer) *wire.Answer {
	switch a := a.(type) {
	case answer.Complete:
		return &wire.Answer{State: wire.State_STATE_COMPLETE, Results: a.Results, Starts: int64(a.Starts)}
	case answer.Failed:
		return answerWithReason(wire.State_STATE_FAILED, a.Reason, a.Starts)
	case answer.NotRun:
		return answerWithReason(wire.State_STATE_NOT_RUN, a.Reason, 0)
	case answer.Unknown:
		return answerWithReason(wire.State_STATE_UNKNOWN, a.Reason, a.Starts)
	default:
		panic(fmt.Sprintf("convert: unknown answer %T", a))
	}
}

func answerWithReason(s wire.State, r answer.Reason, starts int) *wire.Answer {
	return &wire.Answer{State: s, Code: string(r.Code), Message: r.Message, Starts: int64(starts)}
}

// FromAnswer converts a message to an answer. It returns an error if the
// message has an undefined state.
func FromAnswer(m *wire.Answer) (answer.Answer, error) {
	r := answer.Reason{Code: answer.Code(m.GetCode()), Message: m.GetMessage()}
	starts := int(m.GetStarts())
	switch m.GetState() {
	case wire.State_STATE_COMPLETE:
		return answer.Complete{Results: m.GetResults(), Starts: starts}, nil
	case wire.State_STATE_FAILED:
		return answer.Failed{Reason: r, Starts: starts}, nil
	case wire.State_STATE_NOT_RUN:
		return answer.NotRun{Reason: r}, nil
	case wire.State_STATE_UNKNOWN:
		return answer.Unknown{Reason: r, Starts: starts}, nil
	default:
		return nil, fmt.Errorf("convert: answer state %v is not known", m.GetState())
	}
}

// UnknownAnswer returns the message for a request whose outcome is unknown.
func UnknownAnswer(code answer.Code, message string) *wire.Answer {
	return answerWithReason(wire.State_STATE_UNKNOWN, answer.Reason{Code: code, Message: message}, 0)
}

// ToFindings converts findings to messages.
func ToFindings(l finding.List) []*wire.Finding {
	out := make([]*wire.Finding, 0, len(l))
	for _, f := range l {
		out = append(out, &wire.Finding{Place: f.Place, Message: f.Message})
	}
	return out
}

// ToSessionRecords converts session records to messages.
func ToSessionRecords(records []dispatch.SessionRecord) []*wire.SessionRecord {
	out := make([]*wire.SessionRecord, 0, len(records))
	for _, r := range records {
		m := &wire.SessionRecord{
			Caller: r.Caller, LowWater: r.LowWater,
			HomeIncarnation: r.Session.Incarnation, Number: r.Session.Number,
		}
		for _, j := range r.Jobs {
			jm := &wire.JobRecord{Seq: j.Seq, Digest: j.Digest, Running: j.Running}
			if j.Answer != nil {
				jm.Answer = ToAnswer(j.Answer)
			}
			m.Jobs = append(m.Jobs, jm)
		}
		out = append(out, m)
	}
	return out
}

// FromSessionRecords converts messages to session records. It returns an error
// if an answer has an undefined state.
func FromSessionRecords(in []*wire.SessionRecord) ([]dispatch.SessionRecord, error) {
	out := make([]dispatch.SessionRecord, 0, len(in))
	for _, m := range in {
		r := dispatch.SessionRecord{
			Session:  dispatch.SessionID{Incarnation: m.GetHomeIncarnation(), Number: m.GetNumber()},
			Caller:   m.GetCaller(),
			LowWater: m.GetLowWater(),
		}
		for _, jm := range m.GetJobs() {
			j := dispatch.JobRecord{Seq: jm.GetSeq(), Digest: jm.GetDigest(), Running: jm.GetRunning()}
			if jm.GetAnswer() != nil {
				a, err := FromAnswer(jm.GetAnswer())
				if err != nil {
					return nil, err
				}
				j.Answer = a
			}
			r.Jobs = append(r.Jobs, j)
		}
		out = append(out, r)
	}
	return out, nil
}

// ToDeliveredAnswers converts final answers to messages.
func ToDeliveredAnswers(answers []dispatch.FinalAnswer) []*wire.DeliveredAnswer {
	out := make([]*wire.DeliveredAnswer, 0, len(answers))
	for _, a := range answers {
		out = append(out, &wire.DeliveredAnswer{
			HomeIncarnation: a.Job.Session.Incarnation, Number: a.Job.Session.Number,
			Seq: a.Job.Seq, Answer: ToAnswer(a.Answer),
		})
	}
	return out
}

// FromDeliveredAnswers converts messages to final answers. It returns an error
// if an answer has an undefined state.
func FromDeliveredAnswers(in []*wire.DeliveredAnswer) ([]dispatch.FinalAnswer, error) {
	out := make([]dispatch.FinalAnswer, 0, len(in))
	for _, m := range in {
		a, err := FromAnswer(m.GetAnswer())
		if err != nil {
			return nil, err
		}
		session := dispatch.SessionID{Incarnation: m.GetHomeIncarnation(), Number: m.GetNumber()}
		out = append(out, dispatch.FinalAnswer{Job: dispatch.JobID{Session: session, Seq: m.GetSeq()}, Answer: a})
	}
	return out, nil
}
