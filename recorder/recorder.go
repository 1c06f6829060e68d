// Package recorder keeps a node's part of the time line: typed events in a
// bounded ring, stamped by a hybrid logical clock that all messages between
// nodes carry.
//
// The rules of the clock:
//
//	C1  A node's readings never go back while peers accept them.
//	C2  A reading is above every timestamp that the node has accepted, so an
//	    event that follows from a message is ordered after the message's
//	    sending, however the clocks of the two nodes differ.
//	C3  A message whose timestamp lies more than MaxClockSkew ahead of the node's
//	    corrected time is refused as a whole. No clock, however wrong, moves the
//	    readings of others by more than MaxClockSkew, and no accepted message loses
//	    its order.
//	C4  A node whose own time differs by more than MaxClockSkew from the lower median
//	    of its own and at least MinSamples peers' readings corrects its own time
//	    by the difference. While most clocks are right, a correction backwards
//	    happens only at a node whose readings its peers refused (rule C3), so no
//	    accepted message carries one of them.
//
// The rules of the ring:
//
//	E1  Recording never waits for a reader; the oldest event gives way.
//	E2  Sequence numbers have no gaps, so a reader sees how many events it
//	    missed.
//	E3  After a correction backwards, the events that carry refused readings
//	    are stamped again in their order.
package recorder

import (
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// refusalEventInterval is the time between two events about refused messages.
const refusalEventInterval = 10 * time.Second

// DefaultSize is the number of events kept where settings say nothing.
const DefaultSize = 4096

// Recorder is the time line of one node. It implements garnetworks.Recorder
// and is safe for concurrent use.
type Recorder struct {
	node garnetworks.NodeID

	mu    sync.Mutex
	clock Clock
	// ring holds the event with sequence number s at index (s-1) % len(ring).
	ring []garnetworks.Event
	// lastRefusal is when the last event about a refused message was recorded.
	lastRefusal time.Time
	// sequence is the number of the newest event; 0 before the first.
	sequence uint64
}

// New returns the recorder of a node that keeps the newest size events;
// DefaultSize if size is not above 0.
func New(node garnetworks.NodeID, size int) *Recorder {
	if size <= 0 {
		size = DefaultSize
	}
	return &Recorder{node: node, ring: make([]garnetworks.Event, size)}
}

// Record stamps the event and keeps it (rules E1 and E2).
func (r *Recorder) Record(event garnetworks.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(event, time.Now())
}

func (r *Recorder) record(event garnetworks.Event, now time.Time) {
	r.sequence++
	event.Node = r.node
	event.Sequence = r.sequence
	event.At = r.clock.Now(now)
	r.ring[r.index(r.sequence)] = event
}

func (r *Recorder) index(sequence uint64) int { return int((sequence - 1) % uint64(len(r.ring))) }

// Now returns a timestamp for a message to be sent.
func (r *Recorder) Now() garnetworks.Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now(time.Now())
}

// Observe takes in the timestamp of a received message; an error says that the
// message must be refused (rule C3).
func (r *Recorder) Observe(t garnetworks.Timestamp) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	err := r.clock.Observe(t, now)
	if err != nil && now.Sub(r.lastRefusal) >= refusalEventInterval {
		// One sender would otherwise fill the ring with its heartbeats.
		r.lastRefusal = now
		r.record(garnetworks.Event{Kind: garnetworks.EventClockRefused, Error: garnetworks.KindOf(err), Detail: err.Error()}, now)
	}
	return err
}

// Sample takes in a peer's reading for the correction of the node's own clock
// (rule C4).
func (r *Recorder) Sample(source string, t garnetworks.Timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.clock.Sample(source, t, now) {
		return
	}
	r.restamp(now)
	detail := "own clock corrected by " + r.clock.Correction().String()
	r.record(garnetworks.Event{Kind: garnetworks.EventClockCorrected, Detail: detail}, now)
}

// restamp keeps rule E3.
func (r *Recorder) restamp(now time.Time) {
	limit := now.Add(r.clock.Correction() + MaxClockSkew).UnixMilli()
	for s := r.oldest(); s <= r.sequence; s++ {
		e := &r.ring[r.index(s)]
		if e.At.Wall > limit {
			e.At = r.clock.Now(now)
		}
	}
}

// oldest is the sequence number of the oldest event that is kept, and 1 before
// the first event.
func (r *Recorder) oldest() uint64 {
	size := uint64(len(r.ring))
	if r.sequence <= size {
		return 1
	}
	return r.sequence - size + 1
}

// Events returns up to limit events after the given sequence number, in order,
// and how many of the events after it are gone (rule E2). A limit of 0 or below
// returns all. An after beyond the newest event comes from a reader of an
// earlier process of the node; it reads from the start.
func (r *Recorder) Events(after uint64, limit int) (events []garnetworks.Event, lost uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after > r.sequence {
		after = 0
	}
	first := max(after+1, r.oldest())
	lost = first - after - 1
	count := int(r.sequence + 1 - first)
	if limit > 0 {
		count = min(count, limit)
	}
	events = make([]garnetworks.Event, 0, count)
	for s := first; len(events) < count; s++ {
		events = append(events, r.ring[r.index(s)])
	}
	return events, lost
}

// Overwritten is the number of events that gave way to newer ones.
func (r *Recorder) Overwritten() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.oldest() - 1
}

// Handle answers a reader of the time line.
func (r *Recorder) Handle(request *garnetworks.EventsRequest) *garnetworks.EventsResponse {
	events, lost := r.Events(request.After, request.Limit)
	return &garnetworks.EventsResponse{Node: r.node, Events: events, Lost: lost}
}
