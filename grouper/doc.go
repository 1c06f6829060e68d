// Package grouper implements the state machine of a fabric domain: the transitions that its
// instances and replica groups may make, the tokens that they get, and the orders that bring
// the engines to the state of the domain. It does no I/O: an Aggregate is a private copy of
// a garnetworks.FabricDomain that its methods change; the caller writes the result with a
// conditional update and sends the orders after the write.
//
// Rules:
//
//	D1  A writer whose term is lower than the domain's is refused; a higher term
//	    restarts the token sequence.
//	D2  Every token issued is greater than every token issued before in the domain
//	    (rule G3).
//	D3  A group is formed only of distinct members of the domain that are in no
//	    group, healthy, powered and of one class (rule G2).
//	D4  A group begins to serve only when each member has confirmed it as ready
//	    with the incarnation that the domain knows (rule G1).
//	D5  A group is broken at once when a member is lost, reports another
//	    membership or has lost its state, and is never repaired: a group formed in
//	    its place has a new name and token.
//	D6  An instance that is new, was lost or restarted joins no group until it has
//	    confirmed, while in no group, a release under a token issued since then.
//	D7  A member that ignores fencing tokens and leaves a group joins another one
//	    only after its status was read back as idle: an order that another lease
//	    holder sent earlier may still have reached it.
//	D8  Only instances in no group are powered off. Their power counts as drawn
//	    until a power-off under a newer token than every power-on was acknowledged
//	    and the switch reads off afterwards (rule G4).
//	D9  A group with a member that reports that it is leaving takes no new work
//	    (rule G8).
//	D10 An instance is removed from the domain only when neither the power switch
//	    nor the list knows it; the list does not name instances that are off
//	    either.
package grouper
