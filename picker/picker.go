// Package picker chooses the backend server of a plain service for a call. It is
// pure: it does no I/O and takes the time as an argument.
//
//	K1  The server that would answer soonest gets the call: the time that its
//	    recent answers took, times the calls that this node has there.
//	K2  A server that failed calls lately gets fewer, in the measure of how many
//	    it failed; one call in a while still tells whether it is well again.
//	K3  A server that can't be reached gets no call for RestTime.
//	K4  A server of the node's own availability zone goes first among equals.
package picker

import (
	"math"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// Cooldown is how long a server that can't be reached is left out.
	Cooldown = time.Second
	// memory is the time over which answers and failures are averaged. It spans
	// some tens of calls of a service with a few calls a second at each node.
	historyDecay = 4 * time.Second
	// firstAnswer is taken for the time of a server that has not answered yet.
	initialAnswerTime = 20 * time.Millisecond
	// failureWeight makes a server that fails half of its calls look six times as
	// slow.
	failureWeight = 10
	// foreignZonePart makes servers of other zones look slower by this part.
	crossZonePenalty = 0.3
)

// record is what is known of one server.
type record struct {
	inflight      int
	meanTime      float64
	failures      float64
	answers       float64
	updatedAt     time.Time
	cooldownUntil time.Time
}

// Picker remembers how servers answered. It is for use under a lock.
type Picker struct {
	zone    garnetworks.ZoneID
	records map[garnetworks.Incarnation]*record
}

// New returns a picker of a node in a zone.
func New(zone garnetworks.ZoneID) *Picker {
	return &Picker{zone: zone, records: make(map[garnetworks.Incarnation]*record)}
}

func (p *Picker) record(id garnetworks.Incarnation) *record {
	r := p.records[id]
	if r == nil {
		r = &record{meanTime: initialAnswerTime.Seconds()}
		p.records[id] = r
	}
	return r
}

// Pick chooses one of the servers that is not in tried and counts a call there.
func (p *Picker) Pick(now time.Time, servers []garnetworks.RegisteredServer, tried []garnetworks.Incarnation) (garnetworks.RegisteredServer, bool) {
	best, bestScore := -1, math.Inf(1)
	for i := range servers {
		s := &servers[i]
		if slices.Contains(tried, s.Incarnation()) {
			continue
		}
		if score := p.score(now, s); score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return garnetworks.RegisteredServer{}, false
	}
	p.record(servers[best].Incarnation()).inflight++
	return servers[best], true
}

// score is lower for a server that would answer sooner (rules K1 to K4).
func (p *Picker) score(now time.Time, s *garnetworks.RegisteredServer) float64 {
	r := p.record(s.Incarnation())
	score := r.meanTime * float64(r.inflight+1)
	if calls := r.decayed(now, r.answers) + r.decayed(now, r.failures); calls > 0 {
		score *= 1 + failureWeight*r.decayed(now, r.failures)/(calls+1)
	}
	if s.Zone != p.zone {
		score *= 1 + crossZonePenalty
	}
	if now.Before(r.cooldownUntil) {
		score += float64(time.Hour / time.Second)
	}
	return score
}

func (r *record) decayed(now time.Time, n float64) float64 {
	if r.updatedAt.IsZero() {
		return n
	}
	return n * math.Exp(-float64(now.Sub(r.updatedAt))/float64(historyDecay))
}

// Finished ends a call; failed says that the server did not answer it as it
// should.
func (p *Picker) Finished(now time.Time, id garnetworks.Incarnation, took time.Duration, failed bool) {
	const weight = 0.2
	r := p.record(id)
	r.inflight--
	r.answers, r.failures = r.decayed(now, r.answers), r.decayed(now, r.failures)
	r.updatedAt = now
	if failed {
		r.failures++
		return
	}
	r.answers++
	r.meanTime += weight * (took.Seconds() - r.meanTime)
}

// Unreachable leaves the server out for a while (rule K3).
func (p *Picker) Unreachable(now time.Time, id garnetworks.Incarnation) {
	p.record(id).cooldownUntil = now.Add(Cooldown)
}

// Retain forgets the servers that are not in the set and have no calls.
func (p *Picker) Retain(has func(garnetworks.Incarnation) bool) {
	for id, r := range p.records {
		if r.inflight == 0 && !has(id) {
			delete(p.records, id)
		}
	}
}
