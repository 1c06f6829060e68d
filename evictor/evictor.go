// Package evictor decides which clients' connections end when the memory for the heads of requests
// or the room for connections runs short. It has no input or output: it names the connections, and
// package acceptor ends them.
//
// The load it answers is a crowd of connections that hold descriptors and memory without a request
// that could be served: nothing sent, part of a head, a body that does not arrive, an answer that is
// not read. Ordinary callers send a whole request within milliseconds, so that the connections that
// have waited longest are those to end.
//
//	E1  The heads, long messages and long answers of all connections take at most Limits.HeadBytes. What
//	    a head costs is reserved as it arrives, and kept until its request has ended. Connections that
//	    were named to be ended may hold as much again until they have ended.
//	E2  Room is made in this order: connections without a whole head or message, then unused ones, then
//	    those whose request's body is incomplete, then those whose client reads no answer; among
//	    the same, the one that has been so for longest. Memory is taken only from those that have some.
//	E3  A connection whose request is being served is never ended. If no other is left, the new
//	    connection or the new head is refused at once.
//	E4  A part of the memory is left to small heads, so that long ones of requests that wait do not
//	    keep out ordinary ones.
//	E5  A single head fits whatever its size if there is no other one.
package evictor

import (
	"sync"
	"time"
)

// Stage is what a connection is doing.
type Stage int

const (
	// Silent connections have sent nothing yet, or only the prefix of the listener.
	Silent Stage = iota
	// Unfinished connections have sent a part of a head or of a message.
	Unfinished
	// Unused connections have had an answer, and no next request has begun.
	Unused
	// Uploading connections have sent a whole head and a part of the body.
	Uploading
	// Stalled connections do not take the answer that is written to them.
	Stalled
	// Serving connections have a request that is being served.
	Serving
	// Ending connections were named to be ended.
	Ending
	stages
)

// stageNames are metric labels.
var stageNames = [stages]string{"silent", "unfinished", "unused", "uploading", "stalled", "serving", "ending"}

func (s Stage) String() string { return stageNames[s] }

// evictable lists the stages in the order of rule E2; those of one element are equal.
var evictable = [][]Stage{{Silent, Unfinished}, {Unused}, {Uploading}, {Stalled}}

const (
	// smallHeadReserve is the part of the memory that is left to heads of at most smallHead bytes.
	smallHeadReserve = 1.0 / 8
	smallHead        = 16 << 10
	// maxHeadFraction is the part of the memory that one head is charged at most.
	maxHeadFraction = 0.5
)

// Limits bound what all connections hold.
type Limits struct {
	// Connections is the maximum number of open connections of all pools; no bound if it is 0.
	Connections int
	// HeadBytes is the maximum memory of heads (rule E1); no bound if it is 0.
	HeadBytes int64
}

// Owner ends a connection.
type Owner interface {
	// Evict ends the connection soon, unless it is no longer Ending. It must not block.
	Evict()
}

// Evictor knows all connections. It is safe for concurrent use.
type Evictor struct {
	limits Limits

	mu    sync.Mutex
	pools []*Pool
	// open counts the connections that are not Ending.
	open int
	// used is the memory of heads, but for ending, that of connections that are Ending.
	used, ending int64
}

// Pool holds the connections of one listener.
type Pool struct {
	evictor     *Evictor
	connections int
	open        int
	queues      [stages]queue
}

// Connection is a connection of a pool.
type Connection struct {
	pool     *Pool
	owner    Owner
	stage    Stage
	since    time.Time
	reserved int64
	closed   bool

	next, previous *Connection
}

// New returns an Evictor without connections.
func New(limits Limits) *Evictor { return &Evictor{limits: limits} }

// Pool adds a pool of at most that many connections; without a bound of its own if the number is 0.
func (e *Evictor) Pool(connections int) *Pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &Pool{evictor: e, connections: connections}
	e.pools = append(e.pools, p)
	return p
}

// Open adds a new connection. It returns the owner of a connection that has to end for it, if any,
// and false if there is no room (rules E2, E3).
func (p *Pool) Open(owner Owner, now time.Time) (c *Connection, victim Owner, ok bool) {
	e := p.evictor
	e.mu.Lock()
	defer e.mu.Unlock()
	var oldest *Connection
	switch {
	case p.connections > 0 && p.open >= p.connections:
		oldest = e.first([]*Pool{p}, nil)
	case e.limits.Connections > 0 && e.open >= e.limits.Connections:
		oldest = e.first(e.pools, nil)
	default:
		return p.add(owner, now), nil, true
	}
	if oldest == nil {
		return nil, nil, false
	}
	oldest.end(now)
	return p.add(owner, now), oldest.owner, true
}

func (p *Pool) add(owner Owner, now time.Time) *Connection {
	c := &Connection{pool: p, owner: owner, stage: Ending}
	c.enter(Silent, now)
	return c
}

// MakeRoom names up to that many connections, for a process that has no descriptor left.
func (e *Evictor) MakeRoom(connections int, now time.Time) (victims []Owner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(victims) < connections {
		c := e.first(e.pools, nil)
		if c == nil {
			break
		}
		c.end(now)
		victims = append(victims, c.owner)
	}
	return victims
}

// Counts are the numbers of connections by stage, and the memory of their heads.
type Counts struct {
	Stages    [stages]int
	HeadBytes int64
}

// Open returns the number of connections.
func (c *Counts) Open() (n int) {
	for _, count := range c.Stages {
		n += count
	}
	return n
}

// Count returns what the connections hold.
func (e *Evictor) Count() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := Counts{HeadBytes: e.used + e.ending}
	for _, p := range e.pools {
		for stage := range p.queues {
			counts.Stages[stage] += p.queues[stage].length
		}
	}
	return counts
}

// Enter changes the connection's stage. One that was to be ended, but got on before that, counts again.
func (c *Connection) Enter(stage Stage, now time.Time) {
	e := c.pool.evictor
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.closed {
		return
	}
	if stage == Unused || stage == Silent {
		c.release()
	}
	if c.stage != stage {
		c.enter(stage, now)
	}
}

// Ending reports whether the connection is to be ended.
func (c *Connection) Ending() bool {
	e := c.pool.evictor
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.stage == Ending
}

// Reserve takes memory for the connection's head so that it has bytes in all (rule E1). It returns the
// owners of the connections that have to end for it, and false if there is too little (rules E3, E4).
func (c *Connection) Reserve(bytes int64, now time.Time) (victims []Owner, ok bool) {
	e := c.pool.evictor
	e.mu.Lock()
	defer e.mu.Unlock()
	if limit := e.limits.HeadBytes; limit > 0 {
		bytes = min(bytes, int64(float64(limit)*maxHeadFraction)) // rule E5
		available := limit
		if bytes > smallHead {
			available -= int64(float64(limit) * smallHeadReserve)
		}
		for e.used-c.reserved+bytes > available {
			oldest := e.first(e.pools, func(other *Connection) bool { return other != c && other.reserved > 0 })
			if oldest == nil {
				return victims, false
			}
			oldest.end(now)
			victims = append(victims, oldest.owner)
		}
	}
	if c.closed || c.stage == Ending {
		return victims, false
	}
	e.used += bytes - c.reserved
	c.reserved = bytes
	return victims, true
}

// Close removes the connection.
func (c *Connection) Close() {
	e := c.pool.evictor
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.closed {
		return
	}
	c.leave()
	c.reserved, c.closed = 0, true
}

// release gives the memory of the connection's head back.
func (c *Connection) release() {
	*c.account() -= c.reserved
	c.reserved = 0
}

// account returns the sum that has the connection's memory.
func (c *Connection) account() *int64 {
	if c.stage == Ending {
		return &c.pool.evictor.ending
	}
	return &c.pool.evictor.used
}

// end names the connection as one to be ended.
func (c *Connection) end(now time.Time) { c.enter(Ending, now) }

// enter moves the connection to the queue of a stage.
func (c *Connection) enter(stage Stage, now time.Time) {
	c.leave()
	c.stage, c.since = stage, now
	*c.account() += c.reserved
	if stage != Ending {
		c.pool.open++
		c.pool.evictor.open++
	}
	c.pool.queues[stage].push(c)
}

// leave takes the connection out of its queue, and its memory out of the sum.
func (c *Connection) leave() {
	if !c.pool.queues[c.stage].remove(c) {
		return
	}
	*c.account() -= c.reserved
	if c.stage != Ending {
		c.pool.open--
		c.pool.evictor.open--
	}
}

// first returns the connection to be ended first (rule E2) of those that match and whose memory fits
// beside that of those that are ending (rule E1), or nil.
func (e *Evictor) first(pools []*Pool, matches func(*Connection) bool) *Connection {
	for _, equal := range evictable {
		var oldest *Connection
		for _, p := range pools {
			for _, stage := range equal {
				c := p.queues[stage].head
				for c != nil && (!e.fits(c) || matches != nil && !matches(c)) {
					c = c.next
				}
				if c != nil && (oldest == nil || c.since.Before(oldest.since)) {
					oldest = c
				}
			}
		}
		if oldest != nil {
			return oldest
		}
	}
	return nil
}

// fits reports whether the memory of a connection fits beside that of those that are ending.
func (e *Evictor) fits(c *Connection) bool {
	return e.limits.HeadBytes <= 0 || c.reserved == 0 || e.ending+c.reserved <= e.limits.HeadBytes
}

// queue holds connections in the order in which they entered a stage.
type queue struct {
	head, tail *Connection
	length     int
}

func (q *queue) push(c *Connection) {
	c.next, c.previous = nil, q.tail
	if q.tail == nil {
		q.head = c
	} else {
		q.tail.next = c
	}
	q.tail = c
	q.length++
}

// remove takes a connection out, and reports whether it was in the queue.
func (q *queue) remove(c *Connection) bool {
	if c.previous == nil && q.head != c {
		return false
	}
	if c.previous == nil {
		q.head = c.next
	} else {
		c.previous.next = c.next
	}
	if c.next == nil {
		q.tail = c.previous
	} else {
		c.next.previous = c.previous
	}
	c.next, c.previous = nil, nil
	q.length--
	return true
}
