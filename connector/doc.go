// Package connector holds the HTTP adapters of the root package's interfaces:
// the platform's object API, instance list, power switch and weight store, the
// engines' orders, cache events and calls, and plain services. docs/wire.md
// describes the formats. Each adapter is thin: it sends, reads, and says
// exactly how far a failed call had come.
//
// The rules that all adapters keep:
//
//	C1  "Not sent" (PhaseConnect, KindUnreachable) is said only if no byte of
//	    the request was handed to a connection. The connection counts its bytes
//	    and is sealed before the count is read, so no later write can make the
//	    answer untrue.
//	C2  A request is written to one connection at most. Bodies are read once and
//	    can't be rewound, so the transport's own retry on a dead pooled
//	    connection never repeats a call; a second connection for a request whose
//	    bytes have left is sealed before its first write.
//	C3  A refusal counts as "not begun" only with status 503, the outcome header
//	    not-run, and the call's own identifier echoed.
//	C4  Each part of an answer must echo the call's identifier; an answer is
//	    whole only with its end marker (rule G7). A body that ends with its
//	    connection has no end marker.
//	C5  A write to the platform whose answer did not come is KindResponseLost
//	    unless rule C1 proves that it was not sent (rule G11).
//	C6  A connection that makes no progress for the silence bound ends the
//	    attempt, and the pooled connections to the same address are dropped,
//	    because what lost track of one has probably lost track of all.
package connector
