package memorytest

import (
	"net"
	"os"
	"testing"
	"time"
)

// Guards against unread bytes that are not counted, of accepted connections and of those
// that wait to be accepted.
func TestUnreadBytesCount(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const sent = 10_000
	for range 2 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write(make([]byte, sent)); err != nil {
			t.Fatal(err)
		}
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	w := Start(t, os.Getpid, l.Addr().String())
	time.Sleep(2 * sampleInterval)
	w.Check(1 << 10)
	if w.unread != 2*sent {
		t.Errorf("%d unread bytes, want %d", w.unread, 2*sent)
	}
	if w.peak < w.resident || w.resident < mib {
		t.Errorf("peak %d, resident %d", w.peak, w.resident)
	}
}
