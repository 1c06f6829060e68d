// Package former decides which replica groups exist where the engines themselves
// hold membership: an instance says which group, epoch and rank it has, and takes
// an order only if its epoch is not lower than one it has taken. So there is no
// record of groups beside the engines' own words, and a new holder of the lease
// goes on from them. Planner is pure; Former is the duty around it.
//
// The rules:
//
//	O1  A head is ordered to open only when each member has said itself that it
//	    is ready in the same group and epoch (rule G1).
//	O2  An instance is ordered into another group only after it has said itself
//	    that it has left its old one (rule G2).
//	O3  Epochs come from the lease's term, so that an order of an earlier holder
//	    that is carried out late is refused (rule G3).
//	O4  Orders are sent under the lease only, and end before it does (rule G12).
//	O5  Loads from the weight store begin no faster than the site allows, and
//	    those that complete a group go before those that prepare spares.
//	O6  A group of which a member is leaving finishes its calls before it is
//	    dissolved.
//	O7  Once calls come, no instance waits in a group for another one's load. What a
//	    group lacks is loaded by instances that are free meanwhile, and the group is
//	    formed when all its members hold the model.
//	O8  No more orders are in flight than the node carries, and what waits is sent by its
//	    urgency: what lets callers be served, then what tidies up, then what prepares.
//	    An order that has become pointless while it waited is never sent.
//	O9  A node's own delay is not an engine's silence: a probe whose end was noticed
//	    late says nothing, and many silences in several zones are its own fault first.
package former
