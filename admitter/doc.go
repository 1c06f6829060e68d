// Package admitter decides at an entry node whether a call is admitted: under its
// workspace's limits, which apply to the whole site, and under the node's share of
// the serving capacity. The decision is local; a call waits for no other node.
//
//	A1   A workspace's limit is divided into shares, one for each node. Shares
//	     follow the demand that nodes exchange periodically, as far as that
//	     demand exceeds random variation, and every node keeps a part of the
//	     equal share, so that the first call after an idle time is admitted.
//	A2   The shares of one table sum to 1 at most. A decreased share applies at
//	     once, an increased share after IncreaseDelay, when the nodes whose share
//	     decreased have received the table.
//	A3   A node whose table is older than ShareBound (it is partitioned) uses the
//	     equal share among the known nodes; whoever computes tables keeps
//	     reserving that much for an unresponsive node.
//	A4   Requests and tokens are limited by token buckets. In any time T the site
//	     admits at most limit x (T + BurstTime) and, for each node, BurstCalls
//	     requests or one call's tokens. While the table says that the site's
//	     demand is below RelaxedUtilization of the limit, random bursts at a node
//	     are tolerated: the buckets hold RelaxedBurstCalls, or tokens for
//	     RelaxedBurstTime.
//	A5   Concurrency is a number of calls in flight for each node, rounded up, and
//	     with a margin for random bursts under the same condition. A node whose
//	     share is below one call earns the time of one call at the rate of its
//	     share, so that the mean over the site stays at the limit.
//	A6   Calls to a model share the node's slots: its share of what the model's
//	     groups batch. It shrinks while calls queue in the engines or first tokens
//	     are late, and grows while engines have free slots and calls at the node
//	     find none.
//	A7   Waiting calls are served by priority, within a priority by start-time
//	     fair queueing over workspaces, weighted by tokens: a workspace waits for
//	     one call of each other workspace, not for their queues. Slots that higher
//	     priorities are expected to need are reserved, and so are those of smaller
//	     workspaces against one that asks for more than an equal share.
//	A8   The queue is bounded. A call that finds it full replaces the last call
//	     of the largest workspace of the lowest priority, or is refused.
//	A9   A call that can't get its first token in time, given the calls ahead of it
//	     and the rate at which slots are released, is refused at once, on arrival
//	     or as soon as that is known, with the time after which to retry.
//	A10  Each call gets exactly one decision. A call that was refused or cancelled
//	     while it waited leaves nothing behind.
//
// All state is bounded: workspaces and models come from the manifest, and the queue
// has a maximum length.
package admitter
