package integration

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"marigoldfront.dev/entry/run"
	"marigoldfront.dev/infra/crowdtest"
	"marigoldfront.dev/infra/memorytest"
)

// The limits of an entry instance that a crowd of clients connects to.
const (
	crowdedMemoryMB    = 256
	crowdedDescriptors = 600
	// crowdedTime bounds the time in which the ordinary requests must be served.
	crowdedTime = 15 * time.Second
	// returnTime is how long a crowd connects again before the instance is checked.
	returnTime = 4 * time.Second
	// uploadBytes is the largest legal body.
	uploadBytes = 8 << 20
)

// crowdedEntry is an entry instance with limits, and an open session.
type crowdedEntry struct {
	*entry
	session string
	// next is the sequence number of the next ordinary submission. Lower ones than
	// firstOrdinary are those of the crowd.
	next int
}

const firstOrdinary = 100

func startCrowdedEntry(t *testing.T) *crowdedEntry {
	c := newCluster(t)
	c.startTarget("t1", 4)
	c.acceptTicket()
	e := c.startEntry("e1", func(s *run.Settings) { s.MemoryMB, s.MaxDescriptors = crowdedMemoryMB, crowdedDescriptors })
	c.waitConverged(e)
	return &crowdedEntry{entry: e, session: e.openSession(), next: firstOrdinary}
}

func (e *crowdedEntry) watchMemory() *memorytest.Watch {
	return memorytest.Start(e.t, func() int { return e.cmd.Process.Pid }, e.Listen, e.PeerListen)
}

// upload returns a submission that lacks the end of its body. The body is chunked if
// length is negative.
func (e *crowdedEntry) upload(length int) []byte {
	framing := "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", uploadBytes)
	if length >= 0 {
		framing = fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
	}
	header := fmt.Sprintf("PUT /v1/sessions/%s/jobs/1 HTTP/1.1\r\nHost: desk\r\n%s", e.session, framing)
	body := uploadBytes
	if length >= 0 {
		body = length
	}
	return append([]byte(header), bytes.Repeat([]byte{' '}, body-1)...)
}

// checkServed checks that the process lives and serves ordinary requests. Refusals may come
// before.
func (e *crowdedEntry) checkServed() {
	e.t.Helper()
	eventually(e.t, crowdedTime, "an ordinary job is complete", func() bool {
		e.next++
		return e.submit(e.session, e.next, newJob(1, time.Millisecond, time.Second)).State == "complete"
	})
	eventually(e.t, crowdedTime, "the instance is healthy", e.healthy)
	if files, err := os.ReadDir(fmt.Sprint("/proc/", e.cmd.Process.Pid, "/fd")); err != nil || len(files) > crowdedDescriptors {
		e.t.Errorf("%d open descriptors (%v), at most %d are allowed", len(files), err, crowdedDescriptors)
	}
}

// Guards against uploads that stop just short of their end and keep other callers out, or
// take more memory than the process may have.
func TestUploadsThatStopShort(t *testing.T) {
	for name, length := range map[string]int{"length": uploadBytes, "chunks": -1} {
		t.Run(name, func(t *testing.T) {
			e := startCrowdedEntry(t)
			memory := e.watchMemory()
			crowdtest.New(t).JoinOnce(e.Listen, 60, e.upload(length))
			time.Sleep(returnTime)
			e.checkServed()
			memory.Check(crowdedMemoryMB)
		})
	}
}

// Guards against a large submission that is rejected because of uploads that stand still.
func TestLargeSubmissionBesideUploadsThatStopShort(t *testing.T) {
	e := startCrowdedEntry(t)
	memory := e.watchMemory()
	crowdtest.New(t).JoinOnce(e.Listen, 60, e.upload(uploadBytes))
	time.Sleep(returnTime)
	j := newJob(1, time.Millisecond, 5*time.Second)
	// The length of a body in base64 is four thirds of the payload.
	j.Tasks[0].Payload = append(j.Tasks[0].Payload, bytes.Repeat([]byte{' '}, 5<<20)...)
	eventually(t, crowdedTime, "a large job is complete", func() bool {
		e.next++
		return e.submit(e.session, e.next, j).State == "complete"
	})
	memory.Check(crowdedMemoryMB)
}

// Guards against memory and descriptors that clients hold on all listeners at once, with
// and without a session, while they connect again.
func TestCrowdOnAllListeners(t *testing.T) {
	e := startCrowdedEntry(t)
	memory := e.watchMemory()
	c := crowdtest.New(t)
	const n = 60
	body := bytes.Repeat([]byte{' '}, 1<<20)
	for _, path := range []string{"/v1/sessions", "/v1/status", "/v1/sessions/none/jobs/1", "/unknown", "/metrics"} {
		c.Join(e.Listen, n, append(fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: desk\r\nContent-Length: %d\r\n\r\n", path, len(body)+1), body...))
	}
	c.Join(e.Listen, n, e.upload(uploadBytes))
	c.Join(e.Listen, n, e.upload(-1))
	c.Join(e.Listen, n, []byte("GET /v1/status HTTP/1.1\r\nHost: desk\r\nX: "))
	for _, secret := range []string{"a secret of the tests", "a guess"} {
		header := fmt.Sprintf("POST /twirp/marigold.Peer/Handover HTTP/1.1\r\nHost: peer\r\nContent-Type: application/protobuf\r\n"+
			"Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", secret, 32<<20)
		c.Join(e.PeerListen, n/4, append([]byte(header), bytes.Repeat([]byte{' '}, 16<<20)...))
	}
	time.Sleep(returnTime)
	e.checkServed()
	memory.Check(crowdedMemoryMB)
}

// Guards against the largest legal submission, and ordinary ones at once, that meet a limit
// in calm.
func TestLegalSubmissionsAreServedInCalm(t *testing.T) {
	e := startCrowdedEntry(t)
	j := newJob(1, time.Millisecond, 10*time.Second)
	j.Tasks[0].Payload = append(j.Tasks[0].Payload, bytes.Repeat([]byte{' '}, 6<<20-400)...)
	requireComplete(t, e.submit(e.session, 1, j), 1)
	var wg sync.WaitGroup
	for seq := range 100 {
		wg.Go(func() {
			if a := e.submit(e.session, firstOrdinary+seq, newJob(1, time.Millisecond, 10*time.Second)); a.State != "complete" {
				t.Errorf("answer: %+v, want complete", a)
			}
		})
	}
	wg.Wait()
}

// Guards against a slow legal upload that is cut off in calm.
func TestSlowUploadIsServedInCalm(t *testing.T) {
	e := startCrowdedEntry(t)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	const body = `{"service":"appraisal","timeout_ms":1000,"tasks":[{"payload":"cA=="}]}`
	go func() {
		defer w.Close()
		for i := range len(body) {
			_, _ = w.WriteString(body[i : i+1])
			time.Sleep(35 * time.Second / time.Duration(len(body)))
		}
	}()
	req, err := http.NewRequest(http.MethodPut, e.url()+"/v1/sessions/"+e.session+"/jobs/1", r)
	if err != nil {
		t.Fatal(err)
	}
	if a := decodeAnswer(http.DefaultClient.Do(req)); a.Err != nil || a.State != "complete" {
		t.Errorf("answer: %+v, want complete", a)
	}
}

// Guards against a stop that waits for uploads that stand still.
func TestStopWithUploadsThatStopShort(t *testing.T) {
	e := startCrowdedEntry(t)
	c := crowdtest.New(t)
	c.Join(e.Listen, 20, e.upload(100_000))
	c.Join(e.PeerListen, 5, []byte("POST /twirp/marigold.Peer/Handover HTTP/1.1\r\nHost: peer\r\nAuthorization: Bearer a secret of the tests\r\n"+
		"Content-Type: application/protobuf\r\nContent-Length: 1000\r\n\r\n"))
	time.Sleep(time.Second)
	e.signal(syscall.SIGTERM)
	// The limit is half of the setting drain_limit_s.
	e.waitExit(15 * time.Second)
}
