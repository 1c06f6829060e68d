// Package admitter decides at an entry node whether a call is let in: under
// its workspace's limits, which hold for the whole site, and under the node's
// part of the serving capacity. It asks nobody on the path of a call.
//
// The rules:
//
//	A1   A workspace's limit is divided into shares, one for each node. Shares
//	     follow the demand that nodes exchange now and then, as far as it is more
//	     than chance, and every node keeps a part of the equal share, so that the
//	     first call after a pause is let in.
//	A2   The shares of one table sum to 1 at most. A share that falls counts at
//	     once, a share that rises after SettleTime, when the nodes whose share
//	     fell have heard of it.
//	A3   A node whose table is older than ShareBound (it is cut off) uses the
//	     equal share among the known nodes; whoever computes tables goes on
//	     reserving that much for a node that is silent.
//	A4   Requests and tokens are counted by token buckets. In any time T the site
//	     lets in at most limit x (T + BurstTime) and, for each node, BurstCalls
//	     requests or one call's tokens. While the table says that the site asks
//	     for less than SpareUse of the limit, nodes need not be strict with what
//	     comes by chance: they gather SpareCalls, or tokens for SpareTime.
//	A5   Concurrency is a number of calls in flight for each node, rounded up, and
//	     more by chance under the same condition. A node whose share is below one
//	     call earns the time of one call at the rate of its share, so that the
//	     mean over the site stays at the limit.
//	A6   Calls to a model share the node's slots: its part of what the model's
//	     groups batch. It shrinks while calls queue in the engines or first
//	     tokens come late, and grows while there is room and the node is short.
//	A7   Waiting calls are served by priority, within a priority by start-time
//	     fair queueing over workspaces, weighed by tokens: a workspace waits for
//	     one call of each other workspace, not for their queues. Slots that higher
//	     priorities are expected to need are left free, and so are those of
//	     smaller workspaces by one that asks for more than an equal part.
//	A8   The queue is bounded. A call that finds it full replaces the last call
//	     of the largest workspace of the lowest priority, or is refused.
//	A9   A call that can't have its first token in time, by the work before it and
//	     the rate at which slots come free, is refused at once, on arrival or as
//	     soon as that is known, with the time after which to come back.
//	A10  Each call that asks gets exactly one verdict. A call that was refused or
//	     cancelled while it waited leaves nothing behind.
//
// State is bounded: workspaces and models come from the manifest, the queue has
// a length.
package admitter
