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

// toSubmission converts the submission of a request message.
func toSubmission(ctx context.Context, req *wire.ForwardRequest) dispatch.Submission {
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

// digest returns a hash of all fields that determine what runs. It excludes the
// timeout, because a forwarded copy of the request contains only the remaining
// time.
func digest(m *wire.Submission) uint64 {
	d := xxhash.New()
	var n [8]byte
	writeNumber := func(v uint64) {
		binary.LittleEndian.PutUint64(n[:], v)
		_, _ = d.Write(n[:])
	}
	writeNumber(uint64(len(m.GetService())))
	_, _ = d.WriteString(m.GetService())
	if m.GetRepeatable() {
		writeNumber(1)
	} else {
		writeNumber(0)
	}
	writeNumber(uint64(m.GetMemoryMb()))
	writeNumber(uint64(m.GetAccelerators()))
	writeNumber(uint64(len(m.GetTasks())))
	for _, t := range m.GetTasks() {
		writeNumber(uint64(t.GetDeclaredMs()))
		writeNumber(uint64(len(t.GetPayload())))
		_, _ = d.Write(t.GetPayload())
	}
	return d.Sum64()
}
