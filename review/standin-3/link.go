package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// link is a proxy in front of an address. It can be cut for the connections of one
// process or of all: their bytes are held until it is whole again.
type link struct {
	listener net.Listener
	to       string
	// source returns the name of the process that has opened a connection, or "".
	source func(port int) string

	mu  sync.Mutex
	cut map[string]bool
}

func newLink(to string, source func(port int) string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to, source: source, cut: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// setCut cuts the link for the connections of a process, or of all if name is "*".
func (k *link) setCut(name string, cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut[name] = cut
}

func (k *link) isCut(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut["*"] || k.cut[name]
}

func (k *link) serve(c net.Conn) {
	defer c.Close()
	name := ""
	if k.source != nil {
		name = k.source(c.RemoteAddr().(*net.TCPAddr).Port)
	}
	k.await(name)
	up, err := net.Dial("tcp", k.to)
	if err != nil {
		// Like a port without a listener.
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	defer up.Close()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		b := make([]byte, 32<<10)
		for {
			n, err := from.Read(b)
			k.await(name)
			if n > 0 {
				if _, err := to.Write(b[:n]); err != nil {
					break
				}
			}
			if err != nil {
				if err != io.EOF {
					_ = to.(*net.TCPConn).SetLinger(0)
				}
				break
			}
		}
		done <- struct{}{}
	}
	go pass(up, c)
	go pass(c, up)
	<-done
}

// await waits while the link is cut for a process.
func (k *link) await(name string) {
	for k.isCut(name) {
		time.Sleep(5 * time.Millisecond)
	}
}

// processOf returns which of the processes has a TCP connection from a local port. It
// reads what the kernel shows of the processes that this program has started.
func processOf(port int, pids map[string]int) string {
	f, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	local, inode := fmt.Sprintf(":%04X", port), ""
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && strings.HasSuffix(fields[1], local) && fields[9] != "0" {
			inode = fields[9]
			break
		}
	}
	if inode == "" {
		return ""
	}
	want := "socket:[" + inode + "]"
	for name, pid := range pids {
		fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, fd := range fds {
			if to, err := os.Readlink(fd); err == nil && to == want {
				return name
			}
		}
	}
	return ""
}
