// Package controller runs an availability zone's backend servers and the site's
// power from whichever entry node holds the lease. ZoneState.Step is pure: it maps
// observations and the time to writes, orders and the view to publish; granter.PlanSite
// does the same for the site's power. Zone and Site are the loops that make the calls.
//
// Rules:
//
//	C1  A new holder reads the zone's domains and power statement and writes each
//	    of them under its term before it decides anything, so that no write of an
//	    earlier holder can take effect any more.
//	C2  A decision about an instance is written before an order about it is
//	    sent, and an order is sent only while the written token is the decided
//	    one.
//	C3  An order is sent only under the lease, with a deadline before its end
//	    (rule G12).
//	C4  Exception to C2 and C3, for instances that check fencing tokens, while
//	    the object API fails: the holder goes on forming and releasing groups
//	    whose members all check, under tokens of its own term, until it sees a
//	    higher term anywhere or another holder of the lease. The instance is the
//	    arbiter: it obeys the highest token, so it is in one group at any time,
//	    and a group that lost it is no longer confirmed.
//	C5  Power is never ordered on or off under C4: the switch checks tokens but
//	    not watts, and a successor that has not read the decision would count
//	    the instance as off.
//	C6  Every write without an answer is read back (rule G11). An object under
//	    this holder's term was written by it; any object with a higher term ends
//	    its tenure as holder.
//	C7  Instances that ignore fencing tokens get no order outside C2 and C3, and
//	    their reported status decides, not what they were ordered.
//	C8  A holder that gets no status from any instance assumes that it is isolated:
//	    it breaks no group and yields the lease, once, before it treats the
//	    instances as lost.
//	C9  An instance is powered on only if the zone's draw with it is at or under
//	    its limit.
//	C10 Soft changes wait for the next write, at most SoftWriteEvery.
//	C11 Zones roll a new version out in turn where a zone's groups are a large part
//	    of the site's: at most one in rolloutDivisor stop serving at once.
package controller
