// Package connector implements the root package's interfaces over HTTP: the platform's
// object API, instance list, power switch and weight store; the orders, cache events and
// calls of engines; and calls to plain services. docs/wire.md describes the formats. The
// adapters contain no policy: they send requests, read responses, and report exactly how
// far a failed call got.
//
// The rules that all adapters keep:
//
//	C1  "Not sent" (PhaseConnect, KindUnreachable) is reported only if no byte of the
//	    request was passed to a connection. The connection counts its bytes and is
//	    sealed before the count is read, so that no later write can make the report
//	    false.
//	C2  A request is written to at most one connection. Bodies can be read only once,
//	    so the transport can't retry a call whose pooled connection was dead; if it
//	    gets a second connection for a request of which bytes were sent, that
//	    connection is sealed before its first write.
//	C3  A refusal counts as "not begun" only if it has status 503 and the outcome
//	    header not-run, and echoes the call's own identifier.
//	C4  Each part of a response must echo the call's identifier, and a response is
//	    complete only with its end marker (rule G7). A body delimited by the closing
//	    of its connection has no end marker.
//	C5  A write to the platform without a response is KindResponseLost, unless rule C1
//	    proves that it was not sent (rule G11).
//	C6  A connection without progress for the stall timeout ends the attempt. The
//	    pooled connections to the same address are closed, because what dropped the
//	    state of one connection has probably dropped that of all.
package connector
