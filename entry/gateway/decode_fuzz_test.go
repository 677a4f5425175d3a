package gateway

import "testing"

// FuzzDecodeJob guards against a request body that makes the process panic, and
// against a body that is accepted although it exceeds the limits of a submission.
func FuzzDecodeJob(f *testing.F) {
	for _, seed := range []string{
		`{"service":"s","repeatable":true,"timeout_ms":1000,"tasks":[{"payload":"YQ==","declared_ms":5}]}`,
		`{"service":"s","timeout_ms":600001,"tasks":[{}]}`,
		`{"service":"","timeout_ms":-1,"tasks":[]}`,
		`{"tasks":[{"payload":"!"}]}`,
		`{"tasks":{}}`, `{"other":1}`, `{} {}`, `[`, ``, `null`, "{\"service\":\"\xff\"}",
		`{"timeout_ms":1e400}`, `{"acknowledged_below":-1}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		j, findings := decodeJob(body)
		if len(findings) > 0 {
			return
		}
		m := j.toMessage()
		if n := len(m.GetTasks()); n < 1 || n > maxTasks || m.GetTimeoutMs() < 1 || m.GetTimeoutMs() > maxTimeoutMS || m.GetService() == "" {
			t.Errorf("accepted: %d tasks, %d ms, service %q", n, m.GetTimeoutMs(), m.GetService())
		}
	})
}
