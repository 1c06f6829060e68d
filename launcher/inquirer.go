package launcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/former"
)

const (
	// inquiryTimeout bounds a request for verdicts: the holder's time and a connection to it.
	inquiryTimeout = former.VerdictTimeout + 50*time.Millisecond
	// maxInquiries bounds the requests in flight. It leaves one of the messenger's connections
	// to an address to load reports.
	maxInquiries = 3
	// holderCooldown is how long a holder that did not answer is asked nothing.
	holderCooldown = time.Second
)

// inquirer asks the lease holder for its verdicts on suspected groups, and gives them while this
// node holds the lease.
//
// Failure: many groups are lost at once, with a domain. One request for each would need more
// connections to the holder than a node may have, so groups that are suspected while maxInquiries
// requests are in flight are sent together.
type inquirer struct {
	self    garnetworks.NodeID
	caller  garnetworks.VerdictCaller
	nodes   func() []garnetworks.NodeInfo
	verdict func(ctx context.Context, from garnetworks.NodeID, group garnetworks.GroupID, silence time.Duration) garnetworks.Verdict
	leading func() bool

	mu sync.Mutex
	// holder is the lease holder by the last load report; empty if it is unknown.
	holder garnetworks.NodeID
	// failedUntil is until when the holder is asked nothing.
	failedUntil time.Time
	pending     []inquiry
	inFlight    int
}

// inquiry is a question on a group that has sent no events since a time.
type inquiry struct {
	group    garnetworks.GroupID
	since    time.Time
	answered func(garnetworks.Verdict)
}

func newInquirer(
	self garnetworks.NodeID, caller garnetworks.VerdictCaller, nodes func() []garnetworks.NodeInfo,
	verdict func(context.Context, garnetworks.NodeID, garnetworks.GroupID, time.Duration) garnetworks.Verdict, leading func() bool,
) *inquirer {
	return &inquirer{self: self, caller: caller, nodes: nodes, verdict: verdict, leading: leading}
}

// setHolder sets the lease holder; empty if it is unknown.
func (q *inquirer) setHolder(holder garnetworks.NodeID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if holder != q.holder {
		q.holder, q.failedUntil = holder, time.Time{}
	}
}

// ask asks for the verdict on a group that has sent no events for the time silence. It returns at
// once; answered is called from another goroutine.
func (q *inquirer) ask(group garnetworks.GroupID, silence time.Duration, answered func(garnetworks.Verdict)) {
	if q.leading() {
		go func() { answered(q.verdict(context.Background(), q.self, group, silence)) }()
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.holder == "" || now.Before(q.failedUntil) || len(q.pending) >= garnetworks.MaxSuspicions {
		go answered(garnetworks.VerdictUnknown)
		return
	}
	q.pending = append(q.pending, inquiry{group, now.Add(-silence), answered})
	if q.inFlight < maxInquiries {
		q.inFlight++
		go q.send()
	}
}

// send sends the pending inquiries until there are none.
func (q *inquirer) send() {
	for {
		q.mu.Lock()
		list, holder := q.pending, q.holder
		q.pending = nil
		if len(list) == 0 {
			q.inFlight--
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
		verdicts := q.request(holder, list)
		for i, inquiry := range list {
			inquiry.answered(verdicts[i])
		}
	}
}

// request returns the holder's verdicts in the order of list; all are unknown if it does not
// answer.
func (q *inquirer) request(holder garnetworks.NodeID, list []inquiry) []garnetworks.Verdict {
	unknown := slices.Repeat([]garnetworks.Verdict{garnetworks.VerdictUnknown}, len(list))
	nodes := q.nodes()
	at := slices.IndexFunc(nodes, func(n garnetworks.NodeInfo) bool { return n.ID == holder })
	if at < 0 {
		return unknown
	}
	ctx, cancel := context.WithTimeout(context.Background(), inquiryTimeout)
	defer cancel()
	request := &garnetworks.VerdictRequest{From: q.self}
	now := time.Now()
	for _, inquiry := range list {
		request.Groups = append(request.Groups, garnetworks.Suspicion{Group: inquiry.group, SilentMS: now.Sub(inquiry.since).Milliseconds()})
	}
	response, err := q.caller.Verdicts(ctx, nodes[at].Address, request)
	if err == nil && len(response.Verdicts) == len(list) {
		return response.Verdicts
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.holder == holder {
		q.failedUntil = time.Now().Add(holderCooldown)
	}
	return unknown
}

// handle gives this node's verdicts to another node.
func (q *inquirer) handle(ctx context.Context, request *garnetworks.VerdictRequest) (*garnetworks.VerdictResponse, error) {
	if len(request.Groups) > garnetworks.MaxSuspicions {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "%d groups are suspected at once", len(request.Groups))
	}
	response := &garnetworks.VerdictResponse{Verdicts: make([]garnetworks.Verdict, len(request.Groups))}
	var verdicts sync.WaitGroup
	for i, s := range request.Groups {
		verdicts.Go(func() {
			response.Verdicts[i] = q.verdict(ctx, request.From, s.Group, time.Duration(s.SilentMS)*time.Millisecond)
		})
	}
	verdicts.Wait()
	return response, nil
}
