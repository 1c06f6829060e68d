package acceptor

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// failingListener fails a few times, then has one connection.
type failingListener struct {
	net.Listener
	errors []error
	conn   net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, err
	}
	return l.conn, nil
}

// Guards against a listener that never accepts again after a shortage of descriptors.
func TestAcceptContinuesAfterErrorsThatPass(t *testing.T) {
	cases := map[string]struct {
		errors []error
		logged int
		closed bool
	}{
		"no error":             {},
		"too many open files":  {errors: []error{syscall.EMFILE, syscall.EMFILE, syscall.ENFILE}, logged: 1},
		"a client that left":   {errors: []error{syscall.ECONNABORTED}, logged: 1},
		"the listener's end":   {errors: []error{net.ErrClosed}, closed: true},
		"its end after others": {errors: []error{syscall.EMFILE, errors.Wrap(net.ErrClosed, "accept")}, logged: 1, closed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, client := net.Pipe()
				defer client.Close()
				defer server.Close()
				logged, began, failures := 0, time.Now(), len(c.errors)
				l := &Listener{Listener: &failingListener{errors: c.errors, conn: server}, Log: func(error) { logged++ }}
				got, err := l.Accept()
				if closed := errors.Is(err, net.ErrClosed); closed != c.closed || closed == (got == server) {
					t.Errorf("accepted %v, %v", got, err)
				}
				if took := time.Since(began); logged != c.logged || took > time.Duration(failures)*retryTime {
					t.Errorf("%d errors logged, took %v", logged, took)
				}
			})
		})
	}
}
