package run

import (
	"time"

	"marigoldfront.dev/infra/intake"
)

const (
	// listeners is the number of listeners of an instance.
	listeners = 2
	// callerShare is the share of the connections that callers may use. The rest is for
	// peers.
	callerShare = 0.9
	// transferTime is the time in which a message of a peer must arrive, and in which
	// each part of a response must be taken.
	transferTime = time.Minute
)

// budget divides the memory and the descriptors of the process.
func (s *Settings) budget() intake.Budget {
	return intake.NewBudget(s.MemoryMB, s.MaxDescriptors, listeners)
}

func (in *Instance) newGuard() *intake.Guard {
	b := in.settings.budget()
	return intake.New(intake.Config{
		Limits: b.Limits, Backlog: b.Backlog, BodyTime: transferTime, WriteTime: transferTime, Log: in.logger("intake"),
		Refused: in.metrics.CountRefusedRequest, Closed: in.metrics.CountClosedConnection,
	})
}
