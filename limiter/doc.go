// Package limiter keeps the calls that one server gets from all nodes together within a limit,
// without any agreement between the nodes. It is pure: it does no I/O and takes the time as an
// argument.
//
// Load pattern: a server in need names the calls per second that it takes from all nodes. If each
// node kept the limit for itself, the server would get a multiple of it that grows with the nodes.
//
//	L1  A limited server gets calls from a few nodes only, which rendezvous hashing chooses. The
//	    chosen nodes divide the limit, so that the total does not grow with the number of nodes.
//	L2  A node chooses among all nodes that it has listed, whether it reaches them or not. The
//	    chosen nodes send so few calls that the servers' tolerance holds even if MaxViews sets of
//	    nodes, each of which lists none of the others, choose for themselves.
//	L3  A node sends nothing to a limited server before it has run for SettleTime, or while it
//	    knows no other node although there should be some: it would wrongly find itself among the
//	    chosen.
//	L4  A limit holds until the server answers a call that was sent after the limit was last named,
//	    and names none. Nodes report what answers to them named, but not what other nodes
//	    reported, so that no report circulates.
//	L5  If nothing is learned of a limited server for a time, the chosen nodes prefer it for calls.
//	    After that, the number of chosen nodes doubles again and again at the same total rate, so
//	    that one that reaches the server learns whether the limit has ended.
//	L6  A server that refuses a call with a backoff gets no call of the node until that has passed.
//	    The backoff is between the server and the node and does not concern other nodes.
//	L7  A chosen node that has not used its share for a further interval prefers the server for its
//	    next call. Few of the calls of a site with many nodes arrive at the chosen ones.
package limiter
