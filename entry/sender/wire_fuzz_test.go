package sender

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"marigoldfront.dev/core/dispatch"
)

// FuzzReadReply guards against a reply that crashes the process, and against a
// reply that is accepted as the outcome of an attempt that it does not name.
func FuzzReadReply(f *testing.F) {
	for _, status := range []int{200, 204, 400, 410, 412, 429, 500} {
		for _, body := range []string{
			doneReply(1), doneReply(2), `{}`, ``, `null`, `[]`, `{"result":"!"}`, `{"running":-1,"slots":0}`,
			`{"job":"ab-2-3","task":4,"attempt":1,"outcome":"failed","message":"m"}`,
		} {
			f.Add(status, []byte(body), true)
			f.Add(status, []byte(body), false)
		}
	}
	id := newAttempt("", 1).Attempt
	f.Fuzz(func(t *testing.T, status int, body []byte, known bool) {
		resp := &http.Response{StatusCode: status, ContentLength: -1, Body: io.NopCloser(bytes.NewReader(body))}
		if known {
			resp.ContentLength = int64(len(body))
		}
		outcome, _, err := readReply(resp, JobName(id.Job), id, time.Millisecond)
		if (outcome == nil) == (err == nil) {
			t.Fatalf("outcome %v with error %v", outcome, err)
		}
		if _, done := outcome.(dispatch.TaskSucceeded); done && status != http.StatusOK {
			t.Errorf("status %d counts as success", status)
		}
		if err == nil && !bytes.Contains(body, []byte("ab-2-3")) && !bytes.Contains(body, []byte("\\u")) {
			t.Errorf("%T from a reply that does not name the job: %s", outcome, body)
		}
	})
}
