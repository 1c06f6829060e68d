package verifier

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// connect returns both sides of a connection, the first one not yet verified.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = conn.Close(), accepted.Close() })
	return conn.(*net.TCPConn), accepted.(*net.TCPConn)
}

// writeUntilFailure returns the error of the first write that fails.
func writeUntilFailure(conn net.Conn) error {
	for {
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
	}
}

func reset(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	if err := conn.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a reset that is read as io.EOF because it was reported to a write.
func TestFailedConnectionIsNotReadAsClosed(t *testing.T) {
	const part = "part"
	tests := map[string]struct {
		// end ends the connection at the server.
		end func(t *testing.T, client net.Conn, server *net.TCPConn)
		// want is the error of each read after the part; withoutVerification is what the second one returns
		// on a plain connection.
		want, withoutVerification error
	}{
		"orderly close": {
			func(t *testing.T, _ net.Conn, server *net.TCPConn) { _ = server.Close() },
			io.EOF, io.EOF,
		},
		"reset reported to a read": {
			func(t *testing.T, client net.Conn, server *net.TCPConn) { reset(t, server) },
			syscall.ECONNRESET, io.EOF,
		},
		"reset reported to a write": {
			func(t *testing.T, client net.Conn, server *net.TCPConn) {
				reset(t, server)
				if err := writeUntilFailure(client); !errors.Is(err, syscall.ECONNRESET) {
					t.Fatalf("the write failed with %v", err)
				}
			},
			syscall.ECONNRESET, io.EOF,
		},
		"orderly close, then a reset reported to a write": {
			func(t *testing.T, client net.Conn, server *net.TCPConn) {
				if err := server.CloseWrite(); err != nil {
					t.Fatal(err)
				}
				reset(t, server)
				if err := writeUntilFailure(client); !errors.Is(err, syscall.EPIPE) {
					t.Fatalf("the write failed with %v", err)
				}
			},
			io.EOF, io.EOF,
		},
	}
	for name, tt := range tests {
		for _, verified := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				raw, server := connect(t)
				client, want := net.Conn(raw), tt.withoutVerification
				if verified {
					client, want = NewConn(raw), tt.want
				}
				if _, err := io.WriteString(server, part); err != nil {
					t.Fatal(err)
				}
				tt.end(t, client, server)
				got := make([]byte, len(part))
				if _, err := io.ReadFull(client, got); err != nil || string(got) != part {
					t.Fatalf("read %q, %v", got, err)
				}
				_, first := client.Read(got)
				_, second := client.Read(got)
				if !errors.Is(second, want) || verified && !errors.Is(first, want) {
					t.Errorf("verified %t: read %v and %v, want %v", verified, first, second, want)
				}
			})
		}
	}
}

// Guards against a reader that waits for a blocked write after an orderly close.
func TestOrderlyCloseEndsABlockedWrite(t *testing.T) {
	raw, server := connect(t)
	client := NewConn(raw)
	written := make(chan error, 1)
	go func() { written <- client.WriteBuffers(net.Buffers{[]byte("head"), bytes.Repeat([]byte("x"), 64<<20)}) }()
	if _, err := io.ReadFull(server, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if err := server.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read %v", err)
	}
	if err := <-written; err == nil {
		t.Error("the request counts as written")
	}
}
