package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/limiter"
)

const (
	// maxDelegations is the number of nodes to which a call is offered.
	maxDelegations = 4
	// maxOffers is the same for a call that this node has no share for: it must be answered at once.
	maxOffers = 2
	// unansweredTime is how long a node that gave no answer gets no such call.
	unansweredTime = 2 * time.Second
	// minUnreached is the number of servers that must accept no connection before a call goes to
	// another node: one server alone may be down.
	minUnreached = 2
	// trialTime bounds the connection of a trial of down links.
	trialTime = 200 * time.Millisecond
)

// linksDown reports whether the node reaches no server of the call's service, while other nodes may
// (rule D1).
func (x *exchange) linksDown() bool {
	if x.service == nil {
		return false
	}
	x.mu.Lock()
	down := x.links.Down(x.service.Name, x.serverCount())
	x.mu.Unlock()
	if !down || x.options.Nodes == nil || len(x.options.Nodes()) == 0 {
		return false
	}
	_, tried := x.options.Proxy.(garnetworks.ServerConnector)
	return tried
}

// serverCount returns the number of servers that may take the call; x.mu is held.
func (x *exchange) serverCount() int {
	if x.service.Engines.Present {
		return len(x.heads)
	}
	return len(x.options.Follower.ServersOf(x.service.Name))
}

// observeLinks records what an ended attempt shows of the links to the service.
func (x *exchange) observeLinks(server garnetworks.InstanceID, failure *garnetworks.AttemptError) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case failure == nil || failure.Phase != garnetworks.PhaseConnect && failure.Phase != garnetworks.PhaseWait:
		x.links.Answered(x.service.Name)
	case failure.Phase == garnetworks.PhaseWait:
		if !failure.Stalled {
			x.links.Failed(time.Now(), x.service.Name, server)
		}
	case x.ctx.Err() == nil:
		x.links.Failed(time.Now(), x.service.Name, server)
	}
}

// unreached reports whether the call reached no server because several, or all that there are,
// accepted no connection, or because the links to all of them are down.
func (x *exchange) unreached() bool {
	if x.execution.sent > 0 || x.service == nil {
		return false
	}
	x.mu.Lock()
	enough := min(minUnreached, max(1, x.serverCount()))
	x.mu.Unlock()
	return len(x.attemptLog) >= enough || x.linksDown()
}

// nodeStates are the kinds of refusals whose reason is this node's state, so that other nodes may take the call.
var nodeStates = garnetworks.NewSet(garnetworks.KindNotReady, garnetworks.KindStaleRouting, garnetworks.KindShuttingDown)

// untaken reports whether a call that was handed to this node, and is refused with the error kind,
// may be served by another node.
func (x *exchange) untaken(kind garnetworks.Kind) bool {
	return x.delegated && (x.unreached() || x.lacksShare() || nodeStates.Has(kind))
}

// lacksShare reports whether the call was rejected because only groups with limits could serve it,
// some of which they named, and this node has no share left.
func (x *exchange) lacksShare() bool {
	if !x.decision.Limited || x.execution.sent > 0 {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.limits.Count() > 0
}

// delegate hands a call that has reached no server to a node that reaches some (rule T1), and
// reports whether the client got its answer.
func (x *exchange) delegate() bool {
	if x.delegated || x.options.Delegator == nil || x.options.Nodes == nil || !x.unreached() {
		return false
	}
	for range maxDelegations {
		if x.clientLeft() != nil || x.checkStop() != nil {
			return false
		}
		x.mu.Lock()
		node, ok := x.delegates.Choose(time.Now(), x.options.Nodes())
		x.mu.Unlock()
		if !ok {
			return false
		}
		response, err := x.handOver(&node)
		if response != nil {
			x.took(node.ID)
			x.relayDelegated(response)
			return true
		}
		if x.ctx.Err() == nil || !mayHaveReceived(err) {
			x.avoid(node.ID)
		}
		if mayHaveReceived(err) { // rule T2
			x.refuseUnanswered(garnetworks.KindBackendLost, err)
			return true
		}
	}
	return false
}

// untakenError says that a node could not take a call, and may be able to after wait.
type untakenError struct{ wait time.Duration }

func (untakenError) Error() string { return "the node could not take the call" }

// mayHaveReceived reports whether a node that did not take a call may have received it and run it.
func mayHaveReceived(err error) bool {
	var untaken untakenError
	return !errors.As(err, &untaken) && asAttemptError(err).Phase != garnetworks.PhaseConnect
}

// handOver sends the call to another node once, and returns the response of one that took it.
func (x *exchange) handOver(node *garnetworks.NodeInfo) (*garnetworks.DelegatedResponse, error) {
	x.execution.begin()
	response, err := x.options.Delegator.Delegate(x.ctx, node.Address, &garnetworks.DelegatedCall{
		Request: x.request, Body: x.call.Body, Elapsed: time.Since(x.call.Received),
	})
	x.options.Meter.Delegated(x.service.Name, delegationResult(response, err))
	if err == nil && response.Untaken {
		_ = response.Body.Close() // the call goes to another node
		x.execution.unsent()
		wait, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return nil, untakenError{time.Duration(wait * float64(time.Second))}
	}
	if err == nil || mayHaveReceived(err) {
		x.delegatedTo = node.ID
	} else {
		x.execution.unsent()
	}
	return response, err
}

// offer hands a call that this node has no share for to a node that has one (rule T4), and reports
// whether the client got its answer.
func (x *exchange) offer() bool {
	if x.delegated || x.options.Delegator == nil || x.options.Nodes == nil || !x.lacksShare() {
		return false
	}
	for range maxOffers {
		node, ok := x.chooseSharer(time.Now())
		if !ok || x.clientLeft() != nil || x.checkStop() != nil {
			return false
		}
		response, err := x.handOver(&node)
		x.recordOffer(node.ID, err)
		if response != nil {
			x.relayDelegated(response)
			return true
		}
		if mayHaveReceived(err) { // rule T2
			x.refuseUnanswered(garnetworks.KindBackendLost, err)
			return true
		}
	}
	return false
}

// chooseSharer returns a node with a share of the limits of the call's groups.
func (x *exchange) chooseSharer(now time.Time) (garnetworks.NodeInfo, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	view := x.view(now)
	var shares []limiter.Share
	for _, h := range x.heads {
		if _, leaving := x.leaving[h.incarnation]; h.model == x.call.Model && !leaving {
			shares = append(shares, x.limits.Shares(h.incarnation, &view)...)
		}
	}
	return x.offers.Choose(now, shares, len(view.Others)+1)
}

// recordOffer records whether a node took a call.
func (x *exchange) recordOffer(node garnetworks.NodeID, err error) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	var untaken untakenError
	switch {
	case err == nil:
		x.offers.Took()
		x.scheduler.HandedOver(now, x.call.Model)
	case errors.As(err, &untaken):
		x.offers.Untaken(now, node, untaken.wait)
	case x.ctx.Err() == nil:
		x.offers.Untaken(now, node, unansweredTime)
	}
}

func delegationResult(response *garnetworks.DelegatedResponse, err error) string {
	switch {
	case err != nil:
		return string(asAttemptError(err).Phase)
	case response.Untaken:
		return "untaken"
	}
	return "taken"
}

func (x *exchange) avoid(node garnetworks.NodeID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.delegates.Avoid(time.Now(), node)
}

func (x *exchange) took(node garnetworks.NodeID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.delegates.Took(time.Now(), node)
}

// relayDelegated copies another node's response to the client as it arrives.
func (x *exchange) relayDelegated(response *garnetworks.DelegatedResponse) {
	defer response.Body.Close()
	x.uncountCall()
	x.copyHeader(response.Header)
	x.w.WriteHeader(response.Status)
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			_, failed := x.w.Write(buffer[:n])
			if failed == nil {
				failed = http.NewResponseController(x.w).Flush()
			}
			if failed != nil {
				err = errors.Wrap(failed, "the client has disconnected")
			}
		}
		if err == io.EOF {
			x.recordEnd(response.Status, outcomeOf(response.Status), nil)
			return
		}
		if err != nil { // rule W1
			kind := garnetworks.KindStreamBroken
			if x.ctx.Err() != nil {
				kind = garnetworks.KindCancelled
			}
			x.recordEnd(0, garnetworks.OutcomeUnknown, garnetworks.WrapError(kind, err, "the other node's answer was interrupted"))
			panic(http.ErrAbortHandler)
		}
	}
}

// refuseUnreachable answers a call whose service this node does not reach, and no other node either.
func (x *exchange) refuseUnreachable() {
	x.refuseUnanswered(garnetworks.KindNoBackend, errors.New("the node reaches no server of the service"))
}

// tryLinks tries the links that are down (rule D2).
func (g *Gateway) tryLinks(ctx context.Context, now time.Time) {
	connector, ok := g.options.Proxy.(garnetworks.ServerConnector)
	if !ok {
		return
	}
	g.mu.Lock()
	due := g.links.Due(now)
	addresses := make(map[garnetworks.ServiceName]string, len(due))
	for _, service := range due {
		addresses[service] = g.trialAddress(service)
	}
	g.mu.Unlock()
	for service, address := range addresses {
		if address == "" {
			continue
		}
		go func() { // ends after trialTime
			ctx, cancel := context.WithTimeout(ctx, trialTime)
			defer cancel()
			if connector.Connect(ctx, address) != nil {
				return // counted as down until a trial succeeds
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			g.links.Answered(service)
		}()
	}
}

// trialAddress returns the address of a server of the service that may get calls; g.mu is held.
func (g *Gateway) trialAddress(service garnetworks.ServiceName) string {
	servers := g.options.Follower.ServersOf(service)
	address, count := "", 0
	for i := range servers {
		s := &servers[i]
		if s.State != garnetworks.ListedLive {
			continue
		}
		count++
		if random()*float64(count) < 1 {
			address = s.Address
		}
	}
	return address
}
