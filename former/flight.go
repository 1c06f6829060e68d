package former

import "time"

// Parameters of the congestion window.
const (
	// initialWindow is the size before any response. Each entry costs a connection, some
	// goroutines and a few kilobytes.
	initialWindow = 16
	// minWindow lets a group of sixteen be ordered in two rounds on a slow node.
	minWindow = 8
	// maxWindow limits file descriptors and memory on the smallest instances.
	maxWindow = 128
	// fastResponse is the longest time to a response that lets the window grow. Engines
	// respond within some milliseconds whatever their load; the rest is network latency
	// between zones.
	fastResponse = 40 * time.Millisecond
	// slowResponse is the shortest time to a response that shows that this node's processor
	// or link is overloaded. It is well below the connect timeout.
	slowResponse = 100 * time.Millisecond
	// decreaseFactor is multiplied with the window after a slow response.
	decreaseFactor = 0.7
)

// congestionWindow limits a node's requests in flight to engines by the latency of their
// responses. It must not be used by several goroutines at once.
//
// Load pattern: hundreds of engines register within seconds and each is due for an order.
// A node that sent all of them at once timed out most of them itself: with 880 engines, 2,500
// orders failed and 770 engines were taken for unresponsive. Missing responses leave the window
// unchanged: they are an engine's fault more often than the node's.
type congestionWindow struct {
	size     float64
	inFlight int
	// leftSlowStart is set by the first slow response. Before it the window grows by one for
	// each fast response, after it by one for each windowful of them.
	leftSlowStart bool
	// lastDecrease is when the window last shrank. Slow responses to requests that were in
	// flight then don't shrink it again.
	lastDecrease time.Time
}

func newCongestionWindow() congestionWindow { return congestionWindow{size: initialWindow} }

// available returns how many more requests may be sent.
func (w *congestionWindow) available() int { return int(w.size) - w.inFlight }

func (w *congestionWindow) start() { w.inFlight++ }

// done records the end of a request: took is the time to its response, responded whether
// there was one.
func (w *congestionWindow) done(now time.Time, took time.Duration, responded bool) {
	w.inFlight--
	switch {
	case !responded:
	case took >= slowResponse:
		w.leftSlowStart = true
		if now.Sub(w.lastDecrease) > took {
			w.size, w.lastDecrease = max(minWindow, w.size*decreaseFactor), now
		}
	case took <= fastResponse && w.leftSlowStart:
		w.size = min(maxWindow, w.size+1/w.size)
	case took <= fastResponse:
		w.size = min(maxWindow, w.size+1)
	}
}
