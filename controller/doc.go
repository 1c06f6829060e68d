// Package controller runs an availability zone's backend servers and the site's
// power from whichever entry node holds the lease. ZoneState.Step is pure:
// observations and time in, writes, orders and the view out; for the site's power
// granter.PlanSite is. Zone and Site are the loops around them, which only carry
// out.
//
// Rules:
//
//	C1  A new holder reads the zone's domains and statement and writes each of
//	    them under its term before it decides anything, so that no write of an
//	    older holder can take effect any more.
//	C2  A decision about an instance is written before an order about it is
//	    sent, and an order is sent only while the written token is the decided
//	    one.
//	C3  An order is sent only under the lease, with a deadline before its end
//	    (rule G12).
//	C4  Exception to C2 and C3, for instances that check fencing tokens, while
//	    the object API fails: the holder goes on forming and releasing groups
//	    whose members all check, under tokens of its own term, until it sees a
//	    higher term anywhere or another holder in the lease. The instance is the
//	    arbiter: it obeys the highest token, so it is in one group at any time,
//	    and a group that lost it stops being confirmed.
//	C5  Power is never ordered on or off under C4: the switch counts tokens but
//	    not watts, and a successor that has not read the decision would count
//	    the instance as off.
//	C6  Every write that was not answered is read back (rule G11). What holds
//	    this holder's term was written by it; anything with a higher term ends
//	    its holding.
//	C7  Instances that ignore fencing tokens get no order outside C2 and C3, and
//	    what they say of themselves decides, not what they were ordered.
//	C8  A holder that hears from no instance at all takes itself for cut off: it
//	    breaks no group and gives the lease away, once, before it believes that
//	    the zone is dark.
//	C9  An instance is powered on only if the zone's draw with it is at or under
//	    its limit.
//	C10 Soft changes wait for the next write, at most SoftWriteEvery.
//	C11 Zones take turns with a new version where a zone's groups are a large
//	    part of the site's: no more than one in movingPart stand still at once.
package controller
