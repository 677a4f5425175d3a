package gateway

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
)

// Guards against the refusal of submissions on a busy instance: a body of
// unknown length takes as much room as the largest one, so that a few slow
// reads fill the room. The next submission waits for them.
func TestSubmissionWaitsForRoom(t *testing.T) {
	g := New(Config{Log: zap.NewNop()})
	for range maxReceiving / maxBodyBytes {
		if !g.acquire(context.Background(), maxBodyBytes) {
			t.Fatal("there is no room in an idle instance")
		}
	}
	time.AfterFunc(50*time.Millisecond, func() { g.receiving.Release(maxBodyBytes) })
	if !g.acquire(context.Background(), maxBodyBytes) {
		t.Error("a submission was refused although room came free")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if g.acquire(ctx, maxBodyBytes) {
		t.Error("a submission got room that is taken")
	}
}
