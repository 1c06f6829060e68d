package diagnoser

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Request is what a client asked for, once or more often (rule D2).
type Request struct {
	// Calls are in the order of their receipt; there is at least one.
	Calls []*Call
}

// First and last calls of the request.
func (r *Request) first() *Call { return r.Calls[0] }
func (r *Request) last() *Call  { return r.Calls[len(r.Calls)-1] }

// work is what calls of one request have in common. A workspace is left out: a node that
// can't check keys does not tell it.
type requestKey struct {
	route                string
	model                garnetworks.ModelName
	prompt, answer, body int
	target               string
}

func (c *Call) key() requestKey {
	return requestKey{c.Route, c.Model, c.PromptTokens, c.ExpectedTokens, c.BodyBytes, c.Target}
}

// marked reports whether something tells the call's work from that of others.
func (c *Call) identifiable() bool { return c.PromptTokens > 0 || c.BodyBytes > 0 || c.Target != "" }

// mayRetry reports whether the client asks again after the call: its answer was no
// server's whole one, and it did not ask for what it must not have.
func (c *Call) mayRetry() bool {
	return !c.answered() && causeOfKind(c.Kind) != notAllowed || c.answered() && c.Status >= 500
}

// requests joins the calls of each client's work. Calls of the same work that do not
// follow from each other, because the first was answered, stay apart.
func (d *Diagnoser) requests() []*Request {
	slices.SortStableFunc(d.calls, func(a, b *Call) int { return a.Received.Compare(b.Received) })
	open := make(map[requestKey]*Request)
	var all []*Request
	for _, c := range d.calls {
		if !c.Detailed {
			c.ServiceLevel = d.serviceLevels[c.Route]
		}
		key := c.key()
		if r := open[key]; r != nil && isRetry(r, c) {
			r.Calls = append(r.Calls, c)
			continue
		}
		r := &Request{Calls: []*Call{c}}
		all = append(all, r)
		if c.identifiable() {
			open[key] = r
		}
	}
	return all
}

// early is how long before the end of a call, by the nodes' clocks, its client may ask
// again elsewhere: it closed the connection, and its node has not seen that yet.
const retryOverlap = 500 * time.Millisecond

// follows reports whether a call is the next one of a request.
func isRetry(r *Request, c *Call) bool {
	last := r.last()
	return last.mayRetry() && !c.Received.Before(last.Ended().Add(-retryOverlap)) &&
		c.Received.Sub(r.first().Received) < max(r.first().ServiceLevel.Timeout, c.ServiceLevel.Timeout)
}
