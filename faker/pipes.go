package faker

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
)

// Pipes is an in-memory network with one listener, for tests whose time is that of testing/synctest.
// Its connections can be stalled: they then accept writes but deliver nothing, and are not closed.
type Pipes struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
	mu       sync.Mutex
	// stalled is closed to stall the connections opened so far.
	stalled chan struct{}
}

var errRefused = &net.OpError{Op: "dial", Net: "pipe", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// NewPipes returns a network without connections.
func NewPipes() *Pipes {
	return &Pipes{accepted: make(chan net.Conn), closed: make(chan struct{}), stalled: make(chan struct{})}
}

// Stall stalls the connections opened so far.
func (p *Pipes) Stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stalled)
	p.stalled = make(chan struct{})
}

// Dial connects to the listener, whatever the address. It is refused once the listener is closed.
func (p *Pipes) Dial(ctx context.Context, _ string) (net.Conn, error) {
	p.mu.Lock()
	stalled := p.stalled
	p.mu.Unlock()
	near, far := net.Pipe()
	select {
	case p.accepted <- &pipeConn{far, stalled}:
		return &pipeConn{near, stalled}, nil
	case <-p.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (p *Pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.accepted:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *Pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr implements net.Listener.
func (p *Pipes) Addr() net.Addr { return &net.TCPAddr{} }

type pipeConn struct {
	net.Conn
	stalled chan struct{}
}

func (p *pipeConn) Write(b []byte) (int, error) {
	select {
	case <-p.stalled:
		return len(b), nil
	default:
		return p.Conn.Write(b)
	}
}

// Network is an in-memory network of several listeners.
type Network struct {
	mu    sync.Mutex
	pipes map[string]*Pipes
	ports uint16
}

// Listen returns a new listener, whatever the arguments.
func (n *Network) Listen(string, string) (net.Listener, error) { return n.NewListener(), nil }

// NewListener returns a listener with an address of its own.
func (n *Network) NewListener() net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports++
	l := networkListener{NewPipes(), &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: int(n.ports)}}
	if n.pipes == nil {
		n.pipes = make(map[string]*Pipes)
	}
	n.pipes[l.Addr().String()] = l.Pipes
	return l
}

// Dial connects to a listener. It is refused at other addresses.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	p := n.pipes[address]
	n.mu.Unlock()
	if p == nil {
		return nil, errRefused
	}
	return p.Dial(ctx, address)
}

type networkListener struct {
	*Pipes
	address *net.TCPAddr
}

func (l networkListener) Addr() net.Addr { return l.address }
