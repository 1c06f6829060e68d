// Package router chooses the replica group for a call to a model and the
// backend server for a call to a plain service. Nodes do not coordinate on the
// path of a call: each decides from the zone views it holds, its own calls in
// flight and the load reported with its own answers.
//
// The rules:
//
//	R1   A group is eligible only while its view says serving and confirmed,
//	     it has the call's model and adapter, and the newest confirmation (the
//	     receipt of its zone's view, or a probe of all members by the node
//	     itself) is at most ConfirmationBound old (rule G1).
//	R2   A node that is partitioned from a zone's controller continues with the
//	     last membership and token as long as its own probes confirm them;
//	     without confirmation it rejects the calls as not run. It never makes up
//	     a group.
//	R3   Evidence against a group counts at once: a stale token, the engine's
//	     statement that it is leaving, a failed probe. It is cleared by a newer
//	     token, by a later confirmation by probe, or after DenialTime.
//	R4   The prompt's prefix is hashed at doubling lengths. The groups are
//	     ranked by rendezvous hashing, so that every node ranks them alike and
//	     a lost group moves only its own prefixes.
//	R5   A prefix that carries a share of the calls is spread over three times
//	     that share of the groups, rounded up to a power of two; the next longer
//	     prefix chooses among them. A rare prefix has one home group.
//	R6   A call is spilled from its home to a group of the next ranks with a
//	     probability that grows with the difference in load, own and reported.
//	     Next ranks differ by prefix, and one of several is drawn, so that nodes
//	     that act on the same outdated report do not all choose the same group.
//	R7   The weight of a reported load decreases with its age, and a group without
//	     a recent report is assumed to be as loaded as the mean.
//	R8   Calls shorter than a prefix block gain nothing from a cache: they stay in
//	     the node's own zone, at the less loaded of two random groups. Other
//	     regions are used only if the node's region has no eligible group or is
//	     full.
//	R9   Cache events are hints: a hint may name a better group than the hash
//	     does, and a gap in a group's events invalidates its hints.
//	R10  A group whose time per token is an outlier by the node's own
//	     measurements, or that its controller marks as slow, gets less work, but
//	     enough to detect its recovery.
//	R11  Backend servers of plain services: never one that is leaving by its
//	     view or by its own statement; own zone first; the less loaded of two.
//	R12  A group or server that refused a call and requested a backoff gets none from the
//	     node until its end.
package router
