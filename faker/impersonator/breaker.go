package impersonator

import (
	"bytes"
	"net"
	"sync"
)

// Breaker is a server that answers whole requests until it is armed, and then breaks off the next
// connection on which bytes arrive, after a number of bytes. Requests end with End.
type Breaker struct {
	net.Listener
	// End is what the bytes of each request end with, Answer what each whole one is answered with.
	End, Answer []byte

	mu    sync.Mutex
	after int
	reset bool
	armed bool
	whole int
}

// NewBreaker starts a breaker on a listener.
func NewBreaker(l net.Listener, end, answer string) *Breaker {
	b := &Breaker{Listener: l, End: []byte(end), Answer: []byte(answer)}
	go b.accept()
	return b
}

// Arm breaks the next connection off after some bytes, with a reset or with an end. Requests that
// were received whole are counted anew.
func (b *Breaker) Arm(after int, reset bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.after, b.reset, b.armed, b.whole = after, reset, true, 0
}

// Whole returns the number of requests that were received whole since Arm, answered or not.
func (b *Breaker) Whole() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole
}

func (b *Breaker) accept() {
	for {
		conn, err := b.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

func (b *Breaker) serve(conn net.Conn) {
	defer conn.Close()
	var request []byte
	one := make([]byte, 1)
	for {
		if _, err := conn.Read(one); err != nil {
			return
		}
		request = append(request, one[0])
		whole := bytes.HasSuffix(request, b.End)
		if b.received(whole, len(request)) {
			b.breakOff(conn)
			return
		}
		if !whole {
			continue
		}
		request = request[:0]
		if _, err := conn.Write(b.Answer); err != nil {
			return
		}
	}
}

// received counts a whole request and reports whether the connection is to break off now.
func (b *Breaker) received(whole bool, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if whole {
		b.whole++
	}
	if !b.armed || bytes < b.after && !whole {
		return false
	}
	b.armed = false
	return true
}

func (b *Breaker) breakOff(conn net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if tcp, ok := conn.(*net.TCPConn); ok && b.reset {
		_ = tcp.SetLinger(0) // only makes the close a reset
	}
}
