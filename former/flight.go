package former

import "time"

// Numbers of what may be in flight.
const (
	// firstFlight is what may be in flight before anything is known of what the node
	// carries: a connection, some goroutines and a few kilobytes each.
	firstFlight = 16
	// leastFlight lets a group of sixteen be ordered in two turns also where the node
	// is slow.
	leastFlight = 8
	// mostFlight is a small part of the descriptors and of the memory that the smallest
	// instances have.
	mostFlight = 128
	// quickAnswer is the time of an answer that shows that there is room for more.
	// Engines answer within some milliseconds, whatever their load, and zones are a few
	// milliseconds apart.
	quickAnswer = 40 * time.Millisecond
	// slowAnswer is the time of an answer that waited for this node's own processor or
	// link. It is well below the time after which a connect is given up.
	slowAnswer = 100 * time.Millisecond
	// slowPart is what is left of the window after a slow answer.
	slowPart = 0.7
)

// flight bounds what a node has in flight to engines by how late its answers are.
//
// Load pattern: 880 engines register within some seconds, and each of them is due for
// an order at once. A holder that sent all of them was late itself: 2,500 orders failed
// by the bounds of 250 and 600 ms that its own rush used up, and 770 of 875 engines
// counted as silent. A window that grows with quick answers and shrinks with late ones
// finds what the node carries, whatever its processor and its links. Answers that don't
// come at all are an engine's fault more often than the node's, and change nothing.
type flight struct {
	window   float64
	inFlight int
	// met says that a slow answer has come; from then on the window grows by one for
	// each windowful of quick answers, before by one for each of them.
	met bool
	// shrunk is when the window last shrank: the answers to what was in flight then
	// say nothing new.
	shrunk time.Time
}

func newFlight() flight { return flight{window: firstFlight} }

// room returns how many more may be sent.
func (f *flight) room() int { return int(f.window) - f.inFlight }

func (f *flight) sent() { f.inFlight++ }

// ended takes the end of one; took is the time to its answer, answered whether there
// was one.
func (f *flight) ended(now time.Time, took time.Duration, answered bool) {
	f.inFlight--
	switch {
	case !answered:
	case took >= slowAnswer:
		f.met = true
		if now.Sub(f.shrunk) > took {
			f.window, f.shrunk = max(leastFlight, f.window*slowPart), now
		}
	case took <= quickAnswer && f.met:
		f.window = min(mostFlight, f.window+1/f.window)
	case took <= quickAnswer:
		f.window = min(mostFlight, f.window+1)
	}
}
