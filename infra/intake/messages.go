package intake

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

// Messages returns a handler that reads the whole body of a request, of at most maxBytes,
// before next serves it. While it is served, the request takes the memory, in bytes, that
// the function memory returns for its body. If there is not enough, refuse responds.
func Messages(next http.Handler, maxBytes int64, memory func(body []byte) int64, refuse func(http.ResponseWriter, *RefusedError)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, maxBytes, time.Time{})
		if err == nil {
			err = Hold(r.Context(), memory(body))
		}
		var tooLarge *http.MaxBytesError
		var refused *RefusedError
		switch {
		case errors.As(err, &tooLarge):
			http.Error(w, "the message is too large", http.StatusRequestEntityTooLarge)
		case errors.As(err, &refused):
			SetRefusal(w, refused)
			refuse(w, refused)
		case err != nil:
			http.Error(w, "the message cannot be read", http.StatusBadRequest)
		default:
			r.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(w, r)
		}
	})
}
