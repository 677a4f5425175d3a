// Package disconnect tells whether the other side of a request's connection has
// closed or reset it. A server that was suspended or starved may read a request
// whose sender has gone long ago; net/http notices that only in the background,
// when the handler may have passed the request on already.
package disconnect

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type key struct{}

// ConnContext is an http.Server's ConnContext. It lets PeerClosed find the connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, key{}, c)
}

// PeerClosed says whether the other side has ended the connection of a request that
// has been read to its end. It is false for contexts that are not of a request
// on such a server.
func PeerClosed(ctx context.Context) bool {
	c, ok := ctx.Value(key{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	// Control does not wait for the server's own reading of the connection, as
	// Read would.
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
