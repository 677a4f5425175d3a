package instancelist

import (
	"bytes"
	"io"
	"net/http"
	"testing"
)

// FuzzRead guards against a list that crashes the process, and against an empty
// or malformed list that removes all instances.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{
		`{"instances":[{"name":"a","kind":"entry","state":"live"}]}`,
		`{"instances":[]}`, `{}`, `null`, ``, `{"instances":[null]}`, `{"instances":{}}`, `[`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c := New("http://127.0.0.1:1", "r", http.DefaultClient)
		c.last = []Instance{{Name: "known"}}
		list, changed, err := c.readList(&http.Response{Body: io.NopCloser(bytes.NewReader(body)), Header: http.Header{}})
		if len(list) == 0 || changed && err != nil {
			t.Errorf("list %v, changed %v, error %v", list, changed, err)
		}
	})
}
