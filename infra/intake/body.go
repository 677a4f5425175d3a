package intake

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"marigoldfront.dev/core/intake"
)

const (
	// segmentSize is the size of the pieces in which a large body is kept until it is
	// complete.
	segmentSize = 16 << 10
	// firstBody is the initial size of the buffer for a body of unknown length.
	firstBody = 4 << 10
	// largeReceiveBuffer is the size, in bytes, of the receive buffer of a connection
	// with a large body, and largeBufferCost what it may hold above a usual one.
	largeReceiveBuffer = 32 << 10
	largeBufferCost    = 2 * (largeReceiveBuffer - receiveBuffer)
)

// segment is a piece of a body.
type segment [segmentSize]byte

// segments are used again, so that clients that send bodies without an end again and again
// leave no garbage.
var segments = sync.Pool{New: func() any { return new(segment) }}

// bodyReader reads the body of a request.
type bodyReader struct {
	c        *conn // nil if the connection does not count
	r        *http.Request
	maxBytes int64
	parts    []*segment
	n        int // bytes in parts
}

// ReadBody reads the body of a request to its end. It returns a *http.MaxBytesError for
// a body above the given size, and a *RefusedError if there is no memory for it, it has
// not arrived in time, or other requests have displaced it. In all these cases, and after
// any other error, the rest of the body is not read, so that the connection closes after
// the response. The body must arrive until the given time, or within Config.BodyTime if
// that is zero.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64, until time.Time) ([]byte, error) {
	control := http.NewResponseController(w)
	if !until.IsZero() {
		_ = control.SetReadDeadline(until)
	}
	c, _ := r.Context().Value(connKey{}).(*conn)
	reader := &bodyReader{c: c, r: r, maxBytes: maxBytes}
	body, err := reader.read()
	if err != nil {
		w.Header().Set("Connection", "close")
		if c != nil {
			c.refused.Store(true)
			c.guard.record(c, (*intake.Table).Refuse)
		}
		// Without it, the server would wait for the rest.
		_ = control.SetReadDeadline(time.Unix(1, 0))
		return nil, err
	}
	// While the request is served, the server reads from the connection to detect that
	// the client disconnects.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func (b *bodyReader) read() ([]byte, error) {
	length := b.r.ContentLength
	switch {
	case length > b.maxBytes:
		return nil, &http.MaxBytesError{Limit: b.maxBytes}
	case length >= 0 && length < segmentSize:
		// The additional byte is where the end of the body is read.
		return b.readSmall(int(length) + 1)
	case length < 0 && b.maxBytes >= firstBody:
		body, err := b.readSmall(firstBody)
		if err != nil || len(body) < firstBody {
			return body, err
		}
		return b.readSegments(body)
	}
	return b.readSegments(nil)
}

// readSmall reads a body into a buffer of the given size, at most until that is full.
func (b *bodyReader) readSmall(size int) ([]byte, error) {
	if err := b.hold(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for len(body) < size {
		n, err := b.r.Body.Read(body[len(body):size])
		body = body[:len(body)+n]
		if err != nil {
			return b.end(body, err)
		}
	}
	return body, nil
}

// readSegments reads the rest of a body that begins with head. The memory for a body of
// known length is taken at once.
func (b *bodyReader) readSegments(head []byte) ([]byte, error) {
	defer b.release()
	if b.c != nil {
		if err := b.c.guard.growReceiveBuffer(b.c); err != nil {
			return nil, err
		}
	}
	if err := b.hold(len(head) + segmentsFor(int(b.r.ContentLength)+1)*segmentSize); err != nil {
		return nil, err
	}
	for {
		if b.n == len(b.parts)*segmentSize {
			if err := b.hold(len(head) + max(segmentsFor(int(b.r.ContentLength)+1), len(b.parts)+1)*segmentSize); err != nil {
				return nil, err
			}
			b.parts = append(b.parts, segments.Get().(*segment))
		}
		n, err := b.r.Body.Read(b.parts[len(b.parts)-1][b.n%segmentSize:])
		b.n += n
		if int64(len(head)+b.n) > b.maxBytes {
			return nil, &http.MaxBytesError{Limit: b.maxBytes}
		}
		if err != nil {
			if _, err := b.end(nil, err); err != nil {
				return nil, err
			}
			return b.join(head)
		}
	}
}

// segmentsFor returns the number of segments for a body of n bytes, or 0 if n is not
// positive.
func segmentsFor(n int) int { return (max(n, 0) + segmentSize - 1) / segmentSize }

// join returns the whole body in one slice.
func (b *bodyReader) join(head []byte) ([]byte, error) {
	// The segments and the slice exist until the copy is done.
	if err := b.hold(len(head) + len(b.parts)*segmentSize + len(head) + b.n); err != nil {
		return nil, err
	}
	body := slices.Grow([]byte(nil), len(head)+b.n)
	body = append(body, head...)
	for _, part := range b.parts {
		body = append(body, part[:min(segmentSize, len(head)+b.n-len(body))]...)
	}
	return body, nil
}

func (b *bodyReader) release() {
	for _, part := range b.parts {
		segments.Put(part)
	}
	b.parts = nil
}

// end returns what follows from the error of a read: the body if it is complete.
func (b *bodyReader) end(body []byte, err error) ([]byte, error) {
	var evicted evictedError
	switch {
	case b.c == nil:
	case errors.As(err, &evicted):
		return nil, b.c.guard.refuseEvicted(b.c)
	case errors.Is(err, io.EOF) && !b.c.guard.complete(b.c):
		return nil, b.c.guard.refuseEvicted(b.c)
	case isTimeout(err):
		return nil, b.c.guard.refuseLate(b.c)
	}
	if !errors.Is(err, io.EOF) {
		return nil, err
	}
	return body, nil
}

func (b *bodyReader) hold(n int) error {
	if b.c == nil {
		return nil
	}
	return b.c.guard.hold(b.c, int64(n))
}
