package instancelist_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"marigoldfront.dev/infra/instancelist"
)

// Guards against losing the last valid list after an error, a malformed reply
// or an empty list, and against transferring an unchanged list again.
func TestPollKeepsTheLastList(t *testing.T) {
	full := `{"instances":[{"name":"t1","kind":"target","address":"127.0.0.1:1","state":"live"}]}`
	replies := []struct {
		status  int
		body    string
		changed bool
		failed  bool
	}{
		{200, full, true, false},
		{304, "", false, false},
		{500, "", false, true},
		{200, `{"instances":[`, false, true},
		{200, `{"instances":[]}`, false, false},
	}
	next := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if got := r.Header.Get("If-None-Match"); next > 0 && got != `"1"` {
			t.Errorf("poll %d sends the ETag %q", next, got)
		}
		w.Header().Set("ETag", `"1"`)
		w.WriteHeader(replies[next].status)
		fmt.Fprint(w, replies[next].body)
	}))
	defer srv.Close()
	c := instancelist.New(srv.URL, "r", srv.Client())
	for i, want := range replies {
		next = i
		list, changed, err := c.Poll(context.Background())
		if len(list) != 1 || changed != want.changed || (err != nil) != want.failed {
			t.Errorf("poll %d: %d instances, changed %v, error %v", i, len(list), changed, err)
		}
	}
}
