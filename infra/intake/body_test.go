package intake

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"marigoldfront.dev/core/intake"
)

// Guards against bodies that are put together in the wrong order or with a wrong length.
func TestBodiesOfAllSizes(t *testing.T) {
	s := newTestServer(t, intake.Limits{Memory: roomy, Connections: 10, Unfinished: 10})
	var got []byte
	s.keep = func(body []byte) { got = body }
	random := rand.NewChaCha8([32]byte{1})
	for _, n := range []int{1, 2, firstBody - 1, firstBody, firstBody + 1, segmentSize - 1, segmentSize, segmentSize + 1, 5*segmentSize + 7, maxBody} {
		want := make([]byte, n)
		_, _ = random.Read(want)
		for name, request := range map[string]string{
			"length": post(n) + string(want),
			"chunks": chunked + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", n, want),
		} {
			c := s.dial(t)
			send(t, c, request)
			response(t, bufio.NewReader(c))
			if !bytes.Equal(got, want) {
				t.Errorf("%s, %d bytes: another body of %d bytes was read", name, n, len(got))
			}
		}
	}
}

// Guards against a body that is waited for after its caller has left, and against a
// response that blames the client for its slow link.
func TestBodyThatDoesNotArriveInTimeIsRefused(t *testing.T) {
	s := newTestServer(t, intake.Limits{Memory: roomy, Connections: 10, Unfinished: 10})
	s.bodyTime = 50 * time.Millisecond
	for _, request := range []string{post(10) + "x", post(5*segmentSize) + "x", chunked + "2\r\nx"} {
		c := s.dial(t)
		send(t, c, request)
		wantRefusal(t, c)
	}
}

// Guards against a body that is cut off although its caller waits for longer than the
// usual time.
func TestBodyMayTakeAsLongAsItsCallerWaits(t *testing.T) {
	s := newTestServer(t, intake.Limits{Memory: roomy, Connections: 10, Unfinished: 10})
	s.guard.cfg.BodyTime, s.bodyTime = 50*time.Millisecond, 10*time.Second
	c := s.dial(t)
	send(t, c, post(10)+"x")
	time.Sleep(200 * time.Millisecond)
	send(t, c, strings.Repeat("x", 9))
	if _, body := response(t, bufio.NewReader(c)); body != "10" {
		t.Errorf("body %q", body)
	}
}
