package pooler

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against a dead host that is detected too late on a reused connection: each call
// sets its own limit for unacknowledged bytes.
func TestEachCallBoundsUnacknowledgedBytes(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	p := New()
	address := listener.Addr().String()
	for _, c := range []struct{ ackTime, want time.Duration }{
		{300 * time.Millisecond, 300 * time.Millisecond}, {0, DefaultAckTime}, {0, DefaultAckTime}, {200 * time.Millisecond, 200 * time.Millisecond},
	} {
		conn, err := p.connection(context.Background(), address, &Request{AckTime: c.ackTime})
		if err != nil {
			t.Fatal(err)
		}
		if got := userTimeout(t, conn); got != c.want {
			t.Errorf("requested %s, the connection has %s", c.ackTime, got)
		}
		conn.idleSince, conn.keepAlive = time.Now(), idleTime
		p.put(conn)
	}
	if n := len(p.idle[address]); n != 1 {
		t.Errorf("%d connections were opened, not one", n)
	}
}

// userTimeout reads the limit from the socket.
func userTimeout(t *testing.T, c *connection) time.Duration {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var ms int
	var failed error
	if err := raw.Control(func(fd uintptr) { ms, failed = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout) }); err != nil || failed != nil {
		t.Fatal(err, failed)
	}
	return time.Duration(ms) * time.Millisecond
}
