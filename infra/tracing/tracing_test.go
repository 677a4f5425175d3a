package tracing_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"marigoldfront.dev/infra/tracing"
)

// Guards against hops of one request that are recorded in different traces, and
// against the loss of buffered spans when the tracer is closed.
func TestHopsShareOneTrace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trace.json")
	tr, err := tracing.New(path, "entry-1")
	if err != nil {
		t.Fatal(err)
	}
	ctx, span := tr.Start(context.Background(), "gateway")
	remote := tracing.Extract(context.Background(), tracing.Inject(ctx))
	_, child := tr.Start(remote, "forwarded hop")
	child.End()
	span.End()
	if err := tr.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(text), tracing.TraceID(ctx)); n < 2 || strings.Count(string(text), "\n") != 2 {
		t.Errorf("the trace ID occurs %d times in:\n%s", n, text)
	}
}

// Guards against allocations by a disabled tracer.
func TestDisabledTracerDoesNotAllocate(t *testing.T) {
	tr, err := tracing.New("off", "entry-1")
	if err != nil || tr.Enabled() {
		t.Fatalf("tracer for \"off\": error %v, enabled %v", err, tr.Enabled())
	}
	ctx := context.Background()
	allocs := testing.AllocsPerRun(100, func() {
		_, span := tr.Start(ctx, "gateway")
		span.End()
	})
	if allocs != 0 {
		t.Errorf("a disabled tracer made %v allocations per span", allocs)
	}
	if err := tr.Close(ctx); err != nil {
		t.Error(err)
	}
}
