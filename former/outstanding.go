package former

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// departure is a group that an instance has left, and when it acknowledged that.
type departure struct {
	garnetworks.Membership
	at time.Time
}

// joinOrders are the joins that an instance was sent.
type joinOrders struct {
	// epoch is the highest of them, unanswered the number of orders of that epoch without an answer.
	epoch      garnetworks.FencingToken
	unanswered int
	// unfenced says that one of a lower epoch may still be carried out: it got no answer, and the
	// engine has accepted none of a higher epoch since.
	unfenced bool
}

// earlierJoinOutstanding reports whether a join of a lower epoch than the order's may still be carried
// out (rule O13).
func (r *plan) earlierJoinOutstanding(o *garnetworks.GroupOrder) bool {
	j := r.joins[o.Incarnation]
	if j == nil {
		return r.Term > firstTerm // an earlier lease holder's may be
	}
	return j.unfenced || j.epoch < o.Epoch && j.unanswered > 0
}

// joinSent records that a join is sent.
func (p *Planner) joinSent(o *garnetworks.GroupOrder) {
	j := p.joins[o.Incarnation]
	if j == nil {
		j = &joinOrders{unfenced: o.Conditional}
		p.joins[o.Incarnation] = j
	}
	if o.Epoch > j.epoch {
		j.unfenced = j.unfenced || j.unanswered > 0
		j.epoch, j.unanswered = o.Epoch, 0
	}
	j.unanswered++
}

// joinAnswered records the engine's answer to a join; without one the order stays outstanding.
func (p *Planner) joinAnswered(o *garnetworks.GroupOrder, err error) {
	j := p.joins[o.Incarnation]
	if j == nil || j.epoch != o.Epoch || garnetworks.IsKind(err, garnetworks.KindResponseLost) {
		return
	}
	j.unanswered--
	if err == nil {
		j.unfenced = false
	}
}

// foundIn records that an instance reported to be in another group than the one it was ordered to
// join. It has to leave that group first; a report from before it left is ignored.
func (p *Planner) foundIn(now time.Time, o *garnetworks.GroupOrder, in garnetworks.Membership) {
	left, ok := p.left[o.Incarnation]
	if ok && left.Group == in.Group && left.Epoch == in.Epoch && now.Sub(left.at) < maxReportLag {
		return
	}
	delete(p.left, o.Incarnation)
	p.joined[o.Incarnation] = garnetworks.Membership{Group: in.Group, Epoch: in.Epoch}
	p.abandon(now, o.Group, garnetworks.Incarnation{})
}
