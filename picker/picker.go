// Package picker chooses the backend server of a plain service for a call. It is pure: it does
// no I/O and takes the time as an argument.
//
//	K1  The server that is expected to answer soonest gets the call, by the time that its
//	    recent answers took multiplied by the number of calls that this node has there.
//	K2  A server that failed calls recently gets fewer, in proportion to how many it failed;
//	    an occasional call still shows whether it is healthy again.
//	K3  An unreachable server gets no call for Cooldown.
//	K4  Among equal servers, one in the node's own availability zone is preferred.
package picker

import (
	"math"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// Cooldown is how long an unreachable server is avoided.
	Cooldown = time.Second
	// historyDecay is the time constant of the decaying counts of answers and failures. It must
	// span some tens of a node's calls.
	historyDecay = 4 * time.Second
	// initialAnswerTime is the assumed answer time of a server that has not answered yet.
	initialAnswerTime = 20 * time.Millisecond
	// failureWeight sets the effect of failures: a server that fails half of its calls ranks as
	// if it were six times as slow.
	failureWeight = 10
	// crossZonePenalty is the relative penalty of servers in other availability zones.
	crossZonePenalty = 0.3
)

// record is the history of one server.
type record struct {
	inflight      int
	meanTime      float64
	failures      float64
	answers       float64
	updatedAt     time.Time
	cooldownUntil time.Time
}

// Picker keeps the history of servers. It is not safe for concurrent use.
type Picker struct {
	zone    garnetworks.ZoneID
	records map[garnetworks.Incarnation]*record
}

// New returns a picker for a node in the zone.
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

// Pick chooses a server that is not in tried and counts a call there. It returns false if there
// is none.
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

// score returns the rank of a server; lower is better (rules K1 to K4).
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

// Finished ends a call; failed says that the server did not answer it correctly, in which case
// its time does not count.
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

// Unreachable starts the cooldown of the server (rule K3).
func (p *Picker) Unreachable(now time.Time, id garnetworks.Incarnation) {
	p.record(id).cooldownUntil = now.Add(Cooldown)
}

// Retain removes the history of servers without calls for which has returns false.
func (p *Picker) Retain(has func(garnetworks.Incarnation) bool) {
	for id, r := range p.records {
		if r.inflight == 0 && !has(id) {
			delete(p.records, id)
		}
	}
}
