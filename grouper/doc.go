// Package grouper holds the fabric domain's own rules: which transitions its
// instances and replica groups may make, which tokens they get, and which
// orders bring the engines to what the domain says. It is pure: an Aggregate is
// a private copy of a garnetworks.FabricDomain that methods change; the caller
// writes the result conditionally and sends orders after the write.
//
// Rules:
//
//	D1  A writer whose term is lower than the domain's is refused; a higher one
//	    starts a new count of tokens.
//	D2  Every token issued is above every token issued before in the domain
//	    (rule G3).
//	D3  A group is formed only of distinct members of the domain that are in no
//	    group, healthy, powered and of one class (rule G2).
//	D4  A group begins to serve only when each member has confirmed it, ready,
//	    with the incarnation that the domain knows (rule G1).
//	D5  A group whose member is lost, says that it belongs elsewhere, or has
//	    lost its state is broken at once and never mended: a group formed in its
//	    place has a new name and token.
//	D6  An instance that was lost, restarted or is new is refused until it has
//	    confirmed, idle, a release under a token issued after it was last lost.
//	D7  A member that ignores fencing tokens and leaves a group joins another
//	    one only after it was read back idle: an order that another holder sent
//	    earlier may still have reached it.
//	D8  Power is cut only of instances in no group. It counts as drawn until a
//	    power-off under a newer token than every power-on was acknowledged and
//	    the switch reads off afterwards (rule G4).
//	D9  A group with a member that says it is leaving takes no new work (rule
//	    G8).
//	D10 An instance leaves the domain only when the power switch does not know
//	    it and the list does not name it; one that is off is not listed either.
package grouper
