// Package prober finds out which engine instances confirm their place in a
// replica group, and shares the work of asking between the nodes of a zone.
//
// The package keeps these rules:
//
//	P1  An instance is probed by ProbersPerInstance nodes of its zone, chosen by
//	    rendezvous hashing over the ready nodes, so that every node computes the
//	    same assignment without asking and a change of the roster moves no more
//	    than the changed nodes' share. A zone without ready nodes is probed by
//	    nobody, and its groups do not count as confirmed.
//	P2  A confirmation is as old as the moment at which its probe was sent. A
//	    receiver of another node's result counts it from a moment that is known
//	    to lie before the result was sent; delay on the way only adds to the age.
//	P3  For each instance the newest word of the newest incarnation and the
//	    highest token counts. A word from an older incarnation or with a lower
//	    token is never taken, however late it was asked for: it is the echo of a
//	    process that is gone, or of one that returned as if nothing had happened.
//	P4  A failed probe takes nothing away: a prober that is cut off from an
//	    engine must not take out a group that another prober reaches. A member
//	    that nobody reaches stops confirming by age (rule G1).
//	P5  A group is confirmed only while each of its members has said, no longer
//	    ago than ConfirmationBound, that it is ready under the same group, token,
//	    model and version, and that it is not about to stop.
//	P6  A node sends full results only when they change; a refresh of what has
//	    not changed is one byte of age an instance, valid only for a receiver
//	    that holds exactly the results it refers to.
package prober
