// Package disconnect detects whether the client of an HTTP request has closed
// or reset its connection. A server that was suspended or short of processor
// time may read a request long after its client disconnected. net/http detects
// this only in the background, possibly after the handler has forwarded the
// request.
package disconnect

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type connKey struct{}

// ConnContext is meant for the field ConnContext of an http.Server. It stores
// the connection in the context, where PeerClosed finds it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// PeerClosed reports whether the client has closed, half-closed or reset the
// connection of a request. The request body must have been read to its end. It
// returns false if ctx does not belong to a request on a server that uses
// ConnContext.
func PeerClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	// Unlike Read, Control does not wait for the server's pending read of the
	// connection.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch err {
		case nil:
			closed = n == 0
		case unix.EAGAIN, unix.EINTR:
		default:
			closed = true
		}
	})
	return closed || err != nil
}
