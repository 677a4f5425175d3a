package relay

import (
	"fmt"
	"time"

	"marigoldfront.dev/core/evacuation"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/wire"
)

// jobToWire encodes a job. Times are sent as durations relative to now, because
// the clocks of instances differ. The owner adds the time that the job was under way.
func jobToWire(now time.Time, j *scheduler.Job) *wire.RunRequest {
	out := &wire.RunRequest{
		Job: j.ID, Queue: j.Queue, Service: j.Service, Priority: int32(j.Priority), Attempts: int32(j.MaxAttempts),
		Stretch: j.Stretch, SlackMs: j.Slack.Milliseconds(), AgeMs: now.Sub(j.Arrived).Milliseconds(),
		RemainingMs: j.Deadline.Sub(now).Milliseconds(), Payload: j.Payload, OnlyNow: j.MustStartNow,
	}
	for _, s := range j.Steps {
		st := &wire.PoolStep{
			Count: int32(s.Count), Cpu: s.CPU, MemoryMb: s.MemoryMB, Accelerators: s.Accelerators,
			EstimateMs: s.Estimate.Milliseconds(), Label: s.Label, Rack: s.Rack, MaxPerTarget: int32(s.MaxPerTarget),
		}
		for _, a := range s.After {
			st.After = append(st.After, int32(a))
		}
		out.Steps = append(out.Steps, st)
	}
	return out
}

// jobFromWire decodes a job that was sent at the given time.
func jobFromWire(sent time.Time, in *wire.RunRequest) scheduler.Job {
	j := scheduler.Job{
		ID: in.Job, Queue: in.Queue, Service: in.Service, Priority: int(in.Priority), MaxAttempts: int(in.Attempts),
		Stretch: in.Stretch, Slack: time.Duration(in.SlackMs) * time.Millisecond,
		Arrived:  sent.Add(-time.Duration(in.AgeMs) * time.Millisecond),
		Deadline: sent.Add(time.Duration(in.RemainingMs) * time.Millisecond), Payload: in.Payload, MustStartNow: in.OnlyNow,
		Sender: senderID(in.Sender, in.Incarnation), SentAt: sent,
	}
	for _, s := range in.Steps {
		st := scheduler.Step{
			Count: int(s.Count), CPU: s.Cpu, MemoryMB: s.MemoryMb, Accelerators: s.Accelerators,
			Estimate: time.Duration(s.EstimateMs) * time.Millisecond, Label: s.Label, Rack: s.Rack,
			MaxPerTarget: int(s.MaxPerTarget),
		}
		for _, a := range s.After {
			st.After = append(st.After, int(a))
		}
		j.Steps = append(j.Steps, st)
	}
	return j
}

// senderID identifies a run of a sender.
func senderID(name string, incarnation uint64) string {
	return fmt.Sprintf("%s/%016x", name, incarnation)
}

// outcomeToWire encodes an outcome.
func outcomeToWire(o scheduler.Outcome) *wire.RunReply {
	switch o := o.(type) {
	case scheduler.Completed:
		return &wire.RunReply{State: wire.RunState_RUN_STATE_COMPLETED}
	case scheduler.Failed:
		return &wire.RunReply{State: wire.RunState_RUN_STATE_FAILED, Reason: o.Reason}
	case scheduler.Refused:
		return &wire.RunReply{
			State: wire.RunState_RUN_STATE_REFUSED, Reason: string(o.Reason), RetryAfterMs: o.RetryAfter.Milliseconds(),
		}
	case scheduler.Unknown:
		return &wire.RunReply{State: wire.RunState_RUN_STATE_UNKNOWN, Reason: string(o.Reason)}
	}
	panic(fmt.Sprintf("relay: unknown outcome %T", o))
}

// outcomeFromWire decodes an outcome. A state that this version does not define
// becomes Unknown, because the job may have run.
func outcomeFromWire(r *wire.RunReply) scheduler.Outcome {
	switch r.State {
	case wire.RunState_RUN_STATE_COMPLETED:
		return scheduler.Completed{}
	case wire.RunState_RUN_STATE_FAILED:
		return scheduler.Failed{Reason: r.Reason}
	case wire.RunState_RUN_STATE_REFUSED:
		return scheduler.Refused{
			Reason: scheduler.Reason(r.Reason), RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		}
	}
	return scheduler.Unknown{Reason: scheduler.Reason(r.Reason)}
}

// evacuationToWire encodes a set of evacuated zones. It returns nil for a set without a
// revision.
func evacuationToWire(s evacuation.Set) *wire.Evacuation {
	if s.Revision == 0 {
		return nil
	}
	return &wire.Evacuation{Revision: s.Revision, Zones: s.Zones}
}

// EvacuationFromWire decodes a set of evacuated zones. It returns the empty set for nil.
func EvacuationFromWire(in *wire.Evacuation) evacuation.Set {
	s := evacuation.Set{}.At(in.GetRevision())
	for _, zone := range in.GetZones() {
		s = s.With(zone, true)
	}
	return s
}

// RoomsToWire converts the room by priority for a load report.
func RoomsToWire(rooms []scheduler.PriorityRoom) []*wire.PriorityRoom {
	out := make([]*wire.PriorityRoom, len(rooms))
	for i, r := range rooms {
		out[i] = &wire.PriorityRoom{Priority: int32(r.Priority), WaitMs: r.ForecastWait.Milliseconds(), TurnsAway: r.TurnsAway}
	}
	return out
}

func roomsFromWire(rooms []*wire.PriorityRoom) []scheduler.PriorityRoom {
	out := make([]scheduler.PriorityRoom, len(rooms))
	for i, r := range rooms {
		out[i] = scheduler.PriorityRoom{
			Priority: int(r.Priority), ForecastWait: time.Duration(r.WaitMs) * time.Millisecond, TurnsAway: r.TurnsAway,
		}
	}
	return out
}
