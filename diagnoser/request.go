package diagnoser

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Request is a client's call together with its retries (rule D2).
type Request struct {
	// Calls are in order of receipt; there is at least one.
	Calls []*Call
}

// first and last return the first and the last call of the request.
func (r *Request) first() *Call { return r.Calls[0] }
func (r *Request) last() *Call  { return r.Calls[len(r.Calls)-1] }

// requestKey holds what the calls of one request have in common. The workspace is left out,
// because a node that can't check keys does not log it.
type requestKey struct {
	route                string
	model                garnetworks.ModelName
	prompt, answer, body int
	target               string
}

func (c *Call) key() requestKey {
	return requestKey{c.Route, c.Model, c.PromptTokens, c.ExpectedTokens, c.BodyBytes, c.Target}
}

// identifiable reports whether the key can tell the call's request from others.
func (c *Call) identifiable() bool { return c.PromptTokens > 0 || c.BodyBytes > 0 || c.Target != "" }

// mayRetry reports whether the client may retry after the call: it got no complete response
// or a server error, and the call was allowed.
func (c *Call) mayRetry() bool {
	return !c.answered() && causeOfKind(c.Kind) != notAllowed || c.answered() && c.Status >= 500
}

// requests groups the calls into requests. A call with the same key as one that succeeded
// begins a new request.
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

// retryOverlap is how long before the logged end of a call its retry may be received at
// another node: the client closed the connection, which the first node noticed later.
const retryOverlap = 500 * time.Millisecond

// isRetry reports whether a call is the next one of a request.
func isRetry(r *Request, c *Call) bool {
	last := r.last()
	return last.mayRetry() && !c.Received.Before(last.Ended().Add(-retryOverlap)) &&
		c.Received.Sub(r.first().Received) < max(r.first().ServiceLevel.Timeout, c.ServiceLevel.Timeout)
}
