package launcher_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// sendSteadily sends calls at a rate, each on a connection of its own, to the nodes in turn, and
// returns the fraction that is served.
func sendSteadily(rate int, span time.Duration, nodes ...*site) float64 {
	var served atomic.Int64
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	sent := int(span/time.Second) * rate
	for i := range sent {
		<-ticker.C
		node := nodes[i%len(nodes)]
		calls.Go(func() {
			a := node.call(http.MethodPost, streamURL, func(r *http.Request) { r.Close = true })
			if a.err == nil && a.status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	calls.Wait()
	return float64(served.Load()) / float64(sent)
}

const (
	// newConnections is the number of new connections a second, each with one call.
	newConnections = 60
	// followTime is how long the nodes have to follow a shift, countedTime how long calls count.
	followTime  = 4 * time.Second
	countedTime = 4 * time.Second
	// leastRatio is what a node must serve of what the nodes served together before.
	leastRatio = 0.75
)

// checkOneNode shifts all new connections to one of three nodes and then to another one, beside a
// fault of the engines.
func checkOneNode(t *testing.T, fault func(f *impersonator.BackendFaults)) {
	s := newSite(t, 18)
	nodes := []*site{s, s.join("n2"), s.join("n3")}
	for _, node := range nodes {
		node.awaitSuccess(streamURL)
	}
	for _, e := range s.engines {
		e.UpdateFaults(fault)
	}
	sendSteadily(newConnections, followTime, nodes...)
	before := sendSteadily(newConnections, countedTime, nodes...)
	for _, node := range nodes[:2] {
		sendSteadily(newConnections, followTime, node)
		if got := sendSteadily(newConnections, countedTime, node); got < leastRatio*before {
			t.Errorf("node %s serves %.2f of the calls, the nodes together served %.2f", node.name, got, before)
		}
	}
}

// Guards against a node that gets most new connections serving no more than its share of the calls.
func TestOneNodeServesTheNewConnectionsOfAll(t *testing.T) {
	checkOneNode(t, func(f *impersonator.BackendFaults) { f.LoseResponses = 4 })
}

// Guards against the same where all engines name limits, of which each node may use a part.
func TestOneNodeServesTheNewConnectionsBesideLimits(t *testing.T) {
	checkOneNode(t, func(f *impersonator.BackendFaults) { f.CallLimit = garnetworks.Some(20.0) })
}
