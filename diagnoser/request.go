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
type work struct {
	route                string
	model                garnetworks.ModelName
	prompt, answer, body int
	target               string
}

func (c *Call) work() work {
	return work{c.Route, c.Model, c.Prompt, c.Answer, c.Body, c.Target}
}

// marked reports whether something tells the call's work from that of others.
func (c *Call) marked() bool { return c.Prompt > 0 || c.Body > 0 || c.Target != "" }

// mayReturn reports whether the client asks again after the call: its answer was no
// server's whole one, and it did not ask for what it must not have.
func (c *Call) mayReturn() bool {
	return !c.answered() && verdictOf(c.Kind) != notAllowed || c.answered() && c.Status >= 500
}

// requests joins the calls of each client's work. Calls of the same work that do not
// follow from each other, because the first was answered, stay apart.
func (d *Diagnoser) requests() []*Request {
	slices.SortStableFunc(d.calls, func(a, b *Call) int { return a.Received.Compare(b.Received) })
	open := make(map[work]*Request)
	var all []*Request
	for _, c := range d.calls {
		if !c.Detailed {
			c.Terms = d.terms[c.Route]
		}
		key := c.work()
		if r := open[key]; r != nil && follows(r, c) {
			r.Calls = append(r.Calls, c)
			continue
		}
		r := &Request{Calls: []*Call{c}}
		all = append(all, r)
		if c.marked() {
			open[key] = r
		}
	}
	return all
}

// early is how long before the end of a call, by the nodes' clocks, its client may ask
// again elsewhere: it closed the connection, and its node has not seen that yet.
const early = 500 * time.Millisecond

// follows reports whether a call is the next one of a request.
func follows(r *Request, c *Call) bool {
	last := r.last()
	return last.mayReturn() && !c.Received.Before(last.Ended().Add(-early)) &&
		c.Received.Sub(r.first().Received) < max(r.first().Terms.Timeout, c.Terms.Timeout)
}
