package former

import "time"

// Numbers of what may be in flight.
const (
	// firstFlight is what may be in flight before anything is known of what the node
	// carries: a connection, some goroutines and a few kilobytes each.
	initialWindow = 16
	// leastFlight lets a group of sixteen be ordered in two turns also where the node
	// is slow.
	minWindow = 8
	// mostFlight is a small part of the descriptors and of the memory that the smallest
	// instances have.
	maxWindow = 128
	// quickAnswer is the time of an answer that shows that there is room for more.
	// Engines answer within some milliseconds, whatever their load, and zones are a few
	// milliseconds apart.
	fastResponse = 40 * time.Millisecond
	// slowAnswer is the time of an answer that waited for this node's own processor or
	// link. It is well below the time after which a connect is given up.
	slowResponse = 100 * time.Millisecond
	// slowPart is what is left of the window after a slow answer.
	decreaseFactor = 0.7
)

// flight bounds what a node has in flight to engines by how late its answers are.
//
// Load pattern: 880 engines register within some seconds, and each of them is due for
// an order at once. A holder that sent all of them was late itself: 2,500 orders failed
// by the bounds of 250 and 600 ms that its own rush used up, and 770 of 875 engines
// counted as silent. A window that grows with quick answers and shrinks with late ones
// finds what the node carries, whatever its processor and its links. Answers that don't
// come at all are an engine's fault more often than the node's, and change nothing.
type congestionWindow struct {
	size     float64
	inFlight int
	// met says that a slow answer has come; from then on the window grows by one for
	// each windowful of quick answers, before by one for each of them.
	leftSlowStart bool
	// shrunk is when the window last shrank: the answers to what was in flight then
	// say nothing new.
	lastDecrease time.Time
}

func newCongestionWindow() congestionWindow { return congestionWindow{size: initialWindow} }

// room returns how many more may be sent.
func (f *congestionWindow) available() int { return int(f.size) - f.inFlight }

func (f *congestionWindow) start() { f.inFlight++ }

// ended takes the end of one; took is the time to its answer, answered whether there
// was one.
func (f *congestionWindow) done(now time.Time, took time.Duration, responded bool) {
	f.inFlight--
	switch {
	case !responded:
	case took >= slowResponse:
		f.leftSlowStart = true
		if now.Sub(f.lastDecrease) > took {
			f.size, f.lastDecrease = max(minWindow, f.size*decreaseFactor), now
		}
	case took <= fastResponse && f.leftSlowStart:
		f.size = min(maxWindow, f.size+1/f.size)
	case took <= fastResponse:
		f.size = min(maxWindow, f.size+1)
	}
}
