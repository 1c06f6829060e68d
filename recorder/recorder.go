// Package recorder keeps a node's part of the timeline: typed events in a bounded ring
// buffer, stamped by a hybrid logical clock whose timestamps all messages between nodes
// carry.
//
// The rules of the clock:
//
//	C1  A node's readings never go back while peers accept them.
//	C2  A reading is after every timestamp that the node has accepted, so an event
//	    caused by a message is ordered after the sending of the message, however
//	    the clocks of the two nodes differ.
//	C3  A message whose timestamp is more than MaxClockSkew ahead of the node's
//	    corrected time is refused as a whole. No clock, however wrong, moves the
//	    readings of others by more than MaxClockSkew, and accepted messages keep
//	    their order.
//	C4  A node whose own time differs by more than MaxClockSkew from the lower median
//	    of its own and at least MinSamples peers' readings corrects its time by the
//	    difference. While most clocks are right, a correction backwards happens
//	    only at a node whose readings its peers refused (rule C3), so no accepted
//	    message carries one of them.
//
// The rules of the ring buffer:
//
//	E1  Recording never blocks on readers; a full ring overwrites the oldest event.
//	E2  Sequence numbers have no gaps, so a reader knows how many events it missed.
//	E3  After a correction backwards, the events that carry refused readings are
//	    stamped again in their order.
package recorder

import (
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// refusalEventInterval is the minimum time between two events about refused messages.
const refusalEventInterval = 10 * time.Second

// DefaultSize is the default number of events kept.
const DefaultSize = 4096

// Recorder holds the timeline of one node. It implements garnetworks.Recorder and is safe
// for concurrent use.
type Recorder struct {
	node garnetworks.NodeID

	mu    sync.Mutex
	clock Clock
	// ring holds the event with sequence number s at index (s-1) % len(ring).
	ring []garnetworks.Event
	// lastRefusal is when an event about a refused message was last recorded.
	lastRefusal time.Time
	// sequence is the number of the newest event; 0 before the first.
	sequence uint64
}

// New returns a recorder for a node that keeps the latest size events, or DefaultSize if
// size is not positive.
func New(node garnetworks.NodeID, size int) *Recorder {
	if size <= 0 {
		size = DefaultSize
	}
	return &Recorder{node: node, ring: make([]garnetworks.Event, size)}
}

// Record stamps the event and adds it to the ring (rules E1 and E2).
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

// Observe processes the timestamp of a received message. An error means that the message
// must be refused (rule C3).
func (r *Recorder) Observe(t garnetworks.Timestamp) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	err := r.clock.Observe(t, now)
	if err != nil && now.Sub(r.lastRefusal) >= refusalEventInterval {
		// Otherwise one sender's heartbeats would fill the ring.
		r.lastRefusal = now
		r.record(garnetworks.Event{Kind: garnetworks.EventClockRefused, Error: garnetworks.KindOf(err), Detail: err.Error()}, now)
	}
	return err
}

// Sample records a peer's reading for the correction of the node's own clock (rule C4).
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

// restamp stamps events that carry refused readings again (rule E3).
func (r *Recorder) restamp(now time.Time) {
	limit := now.Add(r.clock.Correction() + MaxClockSkew).UnixMilli()
	for s := r.oldest(); s <= r.sequence; s++ {
		e := &r.ring[r.index(s)]
		if e.At.Wall > limit {
			e.At = r.clock.Now(now)
		}
	}
}

// oldest returns the sequence number of the oldest event kept, or 1 if there is none yet.
func (r *Recorder) oldest() uint64 {
	size := uint64(len(r.ring))
	if r.sequence <= size {
		return 1
	}
	return r.sequence - size + 1
}

// Events returns up to limit events after the given sequence number, in order, and how many
// events after it were overwritten (rule E2). A limit that is not positive means no limit.
// If after is beyond the latest event, the reader got it from an earlier process of the node,
// and reading restarts from the beginning.
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

// Overwritten returns the number of events overwritten by newer ones.
func (r *Recorder) Overwritten() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.oldest() - 1
}

// Handle returns the events that a reader requests.
func (r *Recorder) Handle(request *garnetworks.EventsRequest) *garnetworks.EventsResponse {
	events, lost := r.Events(request.After, request.Limit)
	return &garnetworks.EventsResponse{Node: r.node, Events: events, Lost: lost}
}
