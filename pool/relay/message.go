package relay

import (
	"bytes"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"marigoldfront.dev/infra/intake"
)

// readMessages returns a handler that reads the whole body of a request before next
// serves it. A message for which there is no memory is answered as ResourceExhausted,
// which tells its sender that it has had no effect.
func readMessages(next http.Handler) http.Handler {
	return intake.Messages(next, maxMessageBytes, messageMemory, func(w http.ResponseWriter, refused *intake.RefusedError) {
		// A write error means that the client has disconnected.
		_ = twirp.WriteError(w, exhausted(refused))
	})
}

// retryAfterMeta is the key of the time after which a refused job may be sent again.
const retryAfterMeta = "retry_after"

// exhausted returns the reply to a message for which there is no memory.
func exhausted(refused *intake.RefusedError) twirp.Error {
	return twirp.NewError(twirp.ResourceExhausted, refused.Error()).WithMeta(retryAfterMeta, refused.RetryAfter.String())
}

// retryAfter returns the time in a reply for which there was no memory, or a second if it
// has none.
func retryAfter(err twirp.Error) time.Duration {
	d, parseErr := time.ParseDuration(err.Meta(retryAfterMeta))
	if parseErr != nil || d <= 0 {
		return time.Second
	}
	return d
}

// messageMemory returns an upper limit of the memory, in bytes, that decoding a message
// takes. Each step of a job begins with the same byte. Elements of other lists take up
// to perByte for each byte that encodes them.
func messageMemory(body []byte) int64 {
	const stepTag, perStep, perByte = 11<<3 | 2, 512, 20
	return perByte*int64(len(body)) + perStep*int64(bytes.Count(body, []byte{stepTag}))
}
