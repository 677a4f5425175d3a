package home

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/wire"
)

func submission(ctx context.Context, req *wire.ForwardRequest) dispatch.Submission {
	m := req.GetSubmission()
	s := dispatch.Submission{
		Service:      m.GetService(),
		Repeatable:   m.GetRepeatable(),
		Timeout:      time.Duration(m.GetTimeoutMs()) * time.Millisecond,
		MemoryMB:     m.GetMemoryMb(),
		Accelerators: m.GetAccelerators(),
		Tasks:        make([]dispatch.Task, 0, len(m.GetTasks())),
		Digest:       digest(m),
		TraceID:      tracing.TraceID(ctx),
	}
	for _, t := range m.GetTasks() {
		declared := time.Duration(t.GetDeclaredMs()) * time.Millisecond
		s.Tasks = append(s.Tasks, dispatch.Task{Payload: t.GetPayload(), Declared: declared})
	}
	return s
}

// digest is over everything that decides what runs. It leaves the time-out
// out, because a forwarded copy carries the time that is left.
func digest(m *wire.Submission) uint64 {
	d := xxhash.New()
	var n [8]byte
	number := func(v uint64) {
		binary.LittleEndian.PutUint64(n[:], v)
		_, _ = d.Write(n[:])
	}
	number(uint64(len(m.GetService())))
	_, _ = d.WriteString(m.GetService())
	if m.GetRepeatable() {
		number(1)
	} else {
		number(0)
	}
	number(uint64(m.GetMemoryMb()))
	number(uint64(m.GetAccelerators()))
	number(uint64(len(m.GetTasks())))
	for _, t := range m.GetTasks() {
		number(uint64(t.GetDeclaredMs()))
		number(uint64(len(t.GetPayload())))
		_, _ = d.Write(t.GetPayload())
	}
	return d.Sum64()
}
