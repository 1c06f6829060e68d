// Package prober determines which engine instances confirm their membership in a replica
// group, and divides the probing among the nodes of a zone.
//
// The package keeps these rules:
//
//	P1  An instance is probed by ProbersPerInstance nodes of its zone, chosen by
//	    rendezvous hashing over the ready nodes, so that every node computes the
//	    same assignment without communication, and a roster change reassigns only
//	    the share of the changed nodes. A zone without ready nodes is not probed,
//	    and its groups do not count as confirmed.
//	P2  The age of a confirmation counts from when its probe was sent. A receiver
//	    of another node's result counts the age from a time that is known to be
//	    before the result was sent, so that network delay can only add to it.
//	P3  For each instance, the newest status with the highest incarnation and, within
//	    it, the highest token counts. A status with a lower incarnation or token is
//	    never accepted, however recent its probe: it comes from a process that has
//	    ended, or from one that returned with an outdated state.
//	P4  A failed probe withdraws nothing: a prober that can't reach an engine must
//	    not take out a group that another prober reaches. A member that nobody
//	    reaches stops confirming when its confirmation expires (rule G1).
//	P5  A group is confirmed only while the confirmation of each of its members is
//	    at most ConfirmationBound old, names the same group, token, model and
//	    version, and says that the member is ready and not leaving.
//	P6  A node sends full statuses only when they change. Unchanged ones are
//	    refreshed by one byte of age per instance, which is valid only for a
//	    receiver that holds exactly the statuses it refers to.
package prober
