// Package gateway serves callers at a node where calls are passed on whole: it
// finds a call's route and workspace, waits for a place, passes the call on, and
// gives the answer back. What waits, where it goes and what may be repeated is
// decided by packages scheduler, picker and retrier.
//
//	W1  A call gets exactly one answer. A success is a backend server's whole
//	    answer; an answer that broke off ends with a closed connection and never
//	    looks whole.
//	W2  "Not run" (a refusal with status 503) is said only if no backend server
//	    began the call (rule G5). A call that may have run is answered 502 or 504.
//	W3  A call that may not be repeated goes to another server only if the first
//	    one proved that it did not begin it.
//	W4  A key is honoured only while the routing is known to be newer than
//	    RevokeTime, whether the store can be reached or not.
//	W5  Once a client has left, its call is ended at the server at once.
//	W6  A call that is given up gets its answer at once, with the time after which
//	    to come back if it did not run.
//
// What a node may do with the routing depends on the routing's age, the time since it was
// last known to be the newest one:
//
//	A1  Routes, their targets, weights, timeouts, objectives and priorities, and services
//	    are used at any age: a node that is cut off serves on.
//	A2  A key is honoured as rule W4 says.
//	A3  That the routing has no such route or key, or that a body is over its limit,
//	    refuses a call for good only below ApplyTime. An older routing refuses it as not
//	    run, with a time to come back: other nodes may use one that allows the call.
//	A4  A node that never knew a routing refuses all calls as not ready.
//	A5  The age is read before the routing that it is held against, so that a routing
//	    that is replaced meanwhile never counts as younger than it is.
package gateway
