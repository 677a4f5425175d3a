package intake

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"marigoldfront.dev/core/intake"
)

// Guards against refused clients that are all told to return at the same time.
func TestRefusedClientsReturnAtDifferentTimes(t *testing.T) {
	const clients = 20
	s := newTestServer(t, intake.Limits{Memory: maxBody, Connections: 2 * clients, Unfinished: 2 * clients})
	times := map[string]int{}
	for range clients {
		c := s.dial(t)
		send(t, c, post(maxBody))
		resp, _ := response(t, bufio.NewReader(c))
		times[resp.Header.Get("Retry-After")]++
	}
	for seconds, n := range times {
		if n > clients/4 {
			t.Errorf("%d of %d clients return after %s s", n, clients, seconds)
		}
	}
}

// Guards against refused requests that count as unfinished until their connections are
// closed, which takes half a second, and keep the memory of others meanwhile.
func TestRefusedRequestHoldsNoMemory(t *testing.T) {
	const clients = 30
	s := newTestServer(t, intake.Limits{Memory: maxBody, Connections: 2 * clients, Unfinished: 2 * clients})
	for range clients {
		c := s.dial(t)
		send(t, c, post(maxBody))
		wantRefusal(t, c)
	}
}

// Guards against times to return that ignore what is served on connections which close
// after each response.
func TestServedRequestsShortenTheTimesToReturn(t *testing.T) {
	for _, keep := range []bool{true, false} {
		s := newTestServer(t, intake.Limits{Memory: 4 << 20, Connections: 50, Unfinished: 50})
		const bytes = 300 << 10
		for range 30 {
			c := s.dial(t)
			request := post(bytes) + strings.Repeat("x", bytes)
			if !keep {
				request = strings.Replace(request, "Host: a", "Host: a\r\nConnection: close", 1)
			}
			send(t, c, request)
			response(t, bufio.NewReader(c))
		}
		// The server records the end of a request after its response.
		time.Sleep(100 * time.Millisecond)
		s.guard.mu.Lock()
		now := time.Now()
		first := s.guard.large.Delay(now, maxBody)
		second := s.guard.large.Delay(now, maxBody)
		s.guard.mu.Unlock()
		if d := second - first; d <= 0 || d > 2*time.Second {
			t.Errorf("connections kept: %v; the second client returns %v after the first", keep, d)
		}
	}
}
