package messenger

import (
	"context"
	"net"
	"sync"
)

// pipeNetwork is an in-memory network whose connections can be stalled: they then accept
// writes but deliver nothing, and are not closed.
type pipeNetwork struct {
	accepted chan net.Conn
	closed   chan struct{}
	mu       sync.Mutex
	// stalled is closed to stall the connections opened so far.
	stalled chan struct{}
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{accepted: make(chan net.Conn), closed: make(chan struct{}), stalled: make(chan struct{})}
}

func (p *pipeNetwork) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stalled)
	p.stalled = make(chan struct{})
}

func (p *pipeNetwork) dial(context.Context, string) (net.Conn, error) {
	p.mu.Lock()
	stalled := p.stalled
	p.mu.Unlock()
	near, far := net.Pipe()
	p.accepted <- &pipeConn{far, stalled}
	return &pipeConn{near, stalled}, nil
}

func (p *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case conn := <-p.accepted:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeNetwork) Close() error   { close(p.closed); return nil }
func (p *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

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
