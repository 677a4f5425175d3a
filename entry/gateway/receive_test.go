package gateway

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
)

// Guards against the rejection of submissions on a busy instance. A body of
// unknown length reserves the maximum body size, so a few slow uploads use up the
// capacity. The next submission must wait until one of them has finished.
func TestSubmissionWaitsForCapacity(t *testing.T) {
	g := New(Config{Log: zap.NewNop()})
	for range maxReceivingBytes / maxBodyBytes {
		if !g.acquireBody(context.Background(), maxBodyBytes) {
			t.Fatal("an idle instance has too little capacity")
		}
	}
	time.AfterFunc(50*time.Millisecond, func() { g.receivingBytes.Release(maxBodyBytes) })
	if !g.acquireBody(context.Background(), maxBodyBytes) {
		t.Error("a submission was rejected although capacity became available")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if g.acquireBody(ctx, maxBodyBytes) {
		t.Error("a submission got capacity that is in use")
	}
}

// Guards against a few callers that stop short of the end of their bodies and thereby
// keep all other submissions out until bodyTimeout.
func TestUnfinishedUploadsLeaveCapacity(t *testing.T) {
	g := New(Config{Log: zap.NewNop()})
	for range maxReceivingBytes / maxBodyBytes {
		if !g.acquireBody(context.Background(), maxBodyBytes) {
			t.Fatal("an idle instance has too little capacity")
		}
	}
	if !g.acquireBody(context.Background(), 1000) {
		t.Errorf("a submission of 1,000 bytes was rejected after %v", maxReceiveWait)
	}
}
