package impersonator

import (
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/garnetworks/garnetworks"
)

// LinkCut is how a node's links to all backend servers fail.
type LinkCut string

const (
	// LinksHang lets connections, new and open ones, fall silent.
	LinksHang LinkCut = "hang"
	// LinksReset resets open connections and refuses new ones.
	LinksReset LinkCut = "reset"
	// LinksRefuse refuses new connections; every other call finds an open one that works.
	LinksRefuse LinkCut = "refuse"
)

// LinkCuts lists all cuts.
func LinkCuts() []LinkCut { return []LinkCut{LinksHang, LinksReset, LinksRefuse} }

// hangTime is how long a silent connection attempt or an unacknowledged call takes to fail if the
// attempt sets no limit.
const hangTime = 500 * time.Millisecond

// Links are a node's links to the backend servers. They can be cut while the servers serve other
// nodes.
type Links struct {
	Proxy  garnetworks.CallProxy
	Orders garnetworks.GroupOrders

	mu    sync.Mutex
	cut   LinkCut
	calls int
	// open holds the servers to which a connection was open when the links were cut. One call to
	// each is sent over it.
	open, known garnetworks.Set[string]
}

// NewLinks returns links that are not cut.
func NewLinks(proxy garnetworks.CallProxy, orders garnetworks.GroupOrders) *Links {
	return &Links{Proxy: proxy, Orders: orders, open: make(garnetworks.Set[string]), known: make(garnetworks.Set[string])}
}

// Cut cuts the links, or mends them if cut is empty.
func (l *Links) Cut(cut LinkCut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.open, l.known = l.known, make(garnetworks.Set[string])
}

func (l *Links) state() LinkCut {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// Send implements garnetworks.CallProxy.
func (l *Links) Send(ctx context.Context, address string, attempt *garnetworks.ProxiedAttempt) (*garnetworks.ProxiedResponse, error) {
	l.mu.Lock()
	cut, open := l.cut, l.open.Has(address)
	l.open.Remove(address)
	l.calls++
	if cut == LinksRefuse && l.calls%2 == 0 {
		cut = ""
	}
	if cut == "" {
		l.known.Add(address)
	}
	l.mu.Unlock()
	if cut != "" {
		return nil, failedSend(ctx, cut, open, attempt)
	}
	response, err := l.Proxy.Send(ctx, address, attempt)
	if err == nil {
		response.Body = &linkBody{ReadCloser: response.Body, ctx: ctx, links: l}
	}
	return response, err
}

// failedSend fails an attempt as a cut does. One over a connection that was open may have been sent.
func failedSend(ctx context.Context, cut LinkCut, open bool, attempt *garnetworks.ProxiedAttempt) error {
	phase, limit, cause := garnetworks.PhaseConnect, attempt.ConnectTime, syscall.ECONNREFUSED
	if open && cut != LinksRefuse && !attempt.AtMostOnce {
		phase, limit, cause = garnetworks.PhaseWait, attempt.AckTime, syscall.ECONNRESET
	}
	if cut == LinksHang {
		cause = syscall.ETIMEDOUT
		if limit <= 0 {
			limit = hangTime
		}
		select {
		case <-ctx.Done():
		case <-time.After(limit):
		}
	}
	return &garnetworks.AttemptError{Phase: phase, Cause: cause}
}

// fail fails anything but a call as a cut does, and returns nil if the links are not cut.
func (l *Links) fail(ctx context.Context) error {
	cut := l.state()
	if cut == "" {
		return nil
	}
	if cut == LinksHang {
		select {
		case <-ctx.Done():
		case <-time.After(hangTime):
		}
	}
	return garnetworks.WrapError(garnetworks.KindUnreachable, syscall.ECONNREFUSED, "the links are cut")
}

// Connect implements garnetworks.ServerConnector.
func (l *Links) Connect(ctx context.Context, address string) error {
	if err := l.fail(ctx); err != nil {
		return err
	}
	if connector, ok := l.Proxy.(garnetworks.ServerConnector); ok {
		return connector.Connect(ctx, address)
	}
	return nil
}

// SendOrder implements garnetworks.GroupOrders.
func (l *Links) SendOrder(ctx context.Context, order garnetworks.GroupOrder) error {
	if err := l.fail(ctx); err != nil {
		return err
	}
	return l.Orders.SendOrder(ctx, order)
}

// Probe implements garnetworks.GroupOrders.
func (l *Links) Probe(ctx context.Context, address string, incarnation garnetworks.Incarnation) error {
	if err := l.fail(ctx); err != nil {
		return err
	}
	return l.Orders.Probe(ctx, address, incarnation)
}

// Report implements garnetworks.GroupOrders.
func (l *Links) Report(ctx context.Context, address string, incarnation garnetworks.Incarnation) (garnetworks.EngineReport, error) {
	if err := l.fail(ctx); err != nil {
		return garnetworks.EngineReport{}, err
	}
	return l.Orders.Report(ctx, address, incarnation)
}

// linkBody is the body of a response that arrives over the links.
type linkBody struct {
	io.ReadCloser
	ctx   context.Context
	links *Links
}

func (b *linkBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch b.links.state() {
	case LinksHang:
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	case LinksReset:
		return 0, syscall.ECONNRESET
	}
	return n, err
}
