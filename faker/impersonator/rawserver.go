package impersonator

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// RawEnd is how a RawServer ends a connection after an answer.
type RawEnd string

// The ways to end a connection. Without one the rest of the request is read and the connection is kept.
const (
	// RawReset resets the connection while the request may still be written.
	RawReset RawEnd = "reset"
	// RawCloseReset closes the server's side and then resets the connection.
	RawCloseReset RawEnd = "close, then reset"
	// RawCloseRead closes the server's side and reads the rest of the request.
	RawCloseRead RawEnd = "close, then read"
	// RawReadReset reads the whole request before the answer and the reset.
	RawReadReset RawEnd = "read, then reset"
	// RawReadClose reads the whole request before the answer and the close.
	RawReadClose RawEnd = "read, then close"
)

// RawAnswer is what a RawServer does with a request.
type RawAnswer struct {
	Text string
	End  RawEnd
	// Delay passes before a reset.
	Delay time.Duration
}

// RawServer answers each request with bytes of the test's choice, once its head has arrived.
type RawServer struct {
	net.Listener
	// Prefix is the number of bytes before the first request of a connection.
	Prefix int64
	// Answer is called for each request with its number on its connection, from 1 on.
	Answer func(r *http.Request, number int) RawAnswer
}

// rawReceiveBuffer is the smallest one, so that a long request is still being written when it is answered.
const rawReceiveBuffer = 4 << 10 // bytes

// Start listens on a free port.
func (s *RawServer) Start() error {
	control := func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, rawReceiveBuffer)
		})
		if err != nil {
			return err
		}
		return failed
	}
	var err error
	s.Listener, err = (&net.ListenConfig{Control: control}).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err == nil {
		go s.accept()
	}
	return err
}

// Address returns the server's address.
func (s *RawServer) Address() string { return s.Addr().String() }

func (s *RawServer) accept() {
	for {
		conn, err := s.Accept()
		if err != nil {
			return
		}
		go s.serve(conn.(*net.TCPConn))
	}
}

func (s *RawServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	if _, err := io.CopyN(io.Discard, conn, s.Prefix); err != nil {
		return
	}
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := s.Answer(request, number)
		if answer.readsFirst() {
			_, _ = io.Copy(io.Discard, request.Body) // the answer is sent in any case
		}
		if !answer.send(conn, request.Body) {
			return
		}
	}
}

// readsFirst reports whether the request's body is read before the answer is sent.
func (a RawAnswer) readsFirst() bool { return a.End == RawReadReset || a.End == RawReadClose }

// send sends the answer and reports whether the connection is kept. body is what may be left of the request.
func (a RawAnswer) send(conn *net.TCPConn, body io.Reader) (kept bool) {
	if _, err := io.WriteString(conn, a.Text); err != nil {
		return false
	}
	switch a.End {
	case "":
		_, err := io.Copy(io.Discard, body)
		return err == nil
	case RawReadClose:
		return false
	case RawCloseRead:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, body) // until the other side ends the connection
		return false
	case RawCloseReset:
		_ = conn.CloseWrite()
	}
	time.Sleep(a.Delay)
	_ = conn.SetLinger(0)
	return false
}
