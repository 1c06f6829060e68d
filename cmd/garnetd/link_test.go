package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
)

// link is a proxy of connections to one address, from outside the processes.
type link struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]bool
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	l := &link{target: target, open: make(map[net.Conn]bool)}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.address = listener.Addr().String()
	l.serve(listener)
	t.Cleanup(func() { l.refuse(true); l.reset() })
	return l
}

func (l *link) serve(listener net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go l.forward(conn)
			}
		}
	}()
}

// forward connects a connection to the target. If that accepts none, the connection is reset.
func (l *link) forward(conn net.Conn) {
	server, err := net.Dial("tcp4", l.target)
	if err != nil {
		resetConn(conn)
		return
	}
	if !l.add(conn, server) {
		resetConn(conn)
		resetConn(server)
		return
	}
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(server, conn)
		_ = server.(*net.TCPConn).CloseWrite()
		close(done)
	}()
	_, err = io.Copy(conn, server)
	if err != nil {
		resetConn(conn)
	}
	_ = conn.Close()
	<-done
	_ = server.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
	delete(l.open, server)
}

func (l *link) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return false
	}
	for _, c := range conns {
		l.open[c] = true
	}
	return true
}

// reset resets all open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		resetConn(c)
	}
}

// refuse refuses new connections, or accepts them again; open ones go on.
func (l *link) refuse(refuse bool) {
	l.mu.Lock()
	listener := l.listener
	if refuse {
		l.listener = nil
	}
	l.mu.Unlock()
	switch {
	case refuse && listener != nil:
		_ = listener.Close()
	case !refuse && listener == nil:
		if listener, err := net.Listen("tcp4", l.address); err == nil {
			l.serve(listener)
		}
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
