// Package former decides which replica groups exist where the engines themselves hold
// membership: an instance reports its group, epoch and rank, and refuses an order whose
// epoch is lower than one it has accepted. There is no record of groups besides these
// reports, and a new lease holder continues from them. Planner does no I/O and reads no
// clock; Former runs it, sends its orders and probes the instances.
//
// The rules:
//
//	O1  A head is ordered to open only when each member has reported that it is
//	    ready in the same group and epoch (rule G1).
//	O2  An instance is ordered into another group only after it has acknowledged
//	    that it left its old one (rule G2).
//	O3  Epochs start with the lease's term, so that a delayed order of an earlier
//	    lease holder is refused (rule G3).
//	O4  Orders are sent only while the lease is held, and end before it expires
//	    (rule G12).
//	O5  Loads from the weight store begin no faster than the site allows, and
//	    those that complete a group go before those that prepare spares.
//	O6  A group with a leaving member finishes its calls before it is dissolved.
//	O7  After the first call, no instance waits in a group for another one's load.
//	    Free instances load what a group lacks, and the group is formed when all
//	    its members hold the model.
//	O8  The number of orders in flight is bounded by what the node can handle. The
//	    rest waits in order of urgency: orders that let calls be served, then
//	    those that clean up, then those that prepare. An order that has become
//	    pointless while it waited is never sent.
//	O9  A node's own delay does not count against an engine: a probe whose timeout
//	    was noticed late is discarded, and many unanswered probes in several zones
//	    are first presumed to be the node's own fault.
//	O10 The groups of an evacuated availability zone stay as they are, although they
//	    get no calls: their return must not wait for loads. Lost ones are replaced,
//	    but no domain's groups are reallocated to another model.
//	O11 A node of which no engine answers control probes presumes that its own links are
//	    down. It finds no engine unresponsive and leaves the lease to other nodes.
//	O12 Nodes that suspect a group ask the lease holder for its verdict, so that calls leave a
//	    lost group within the pause that callers allow. One round of probes serves all
//	    nodes that ask. Load pattern: of thousands of calls, some wait at any time for a
//	    lost packet that is resent after 0.2 s. So where several nodes have events of a
//	    group, one node's question alone causes no probes. The group is lost if a member answers neither of two probes while
//	    other engines answer quickly; a holder that is late, overloaded or without links
//	    gives no verdict, and neither does one that has just taken the lease. The verdict
//	    moves calls only: instances are found unresponsive as before.
//	O13 A join that got no answer may be carried out later and put its engine back into a
//	    group that the engine has left since. While such a copy may be outstanding, the engine is
//	    ordered into another group only if it reports to be in none, on the condition that
//	    it has accepted no order since. It is outstanding until the engine has accepted a
//	    join of a higher epoch.
package former
