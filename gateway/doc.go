// Package gateway proxies client calls to backend servers. For each call it finds the route
// and the workspace, waits for a slot, sends the call and relays the response. Packages
// scheduler, picker and retrier decide what waits, where it goes and what may be repeated.
//
//	W1  A call gets exactly one answer. A success is a backend server's whole
//	    answer; an interrupted answer ends with a closed connection and never
//	    looks complete.
//	W2  "Not run" (a refusal with status 503) is said only if no backend server
//	    began the call (rule G5). A call that may have run is answered 502 or 504. It may
//	    have from the first byte that is sent, unless the server refuses it (execution).
//	W3  A call that may not be repeated goes to another server only if the first
//	    one proved that it did not begin it.
//	W4  A key is accepted only while the routing is known to be newer than
//	    RevokeTime, whether the store can be reached or not.
//	W5  When a client disconnects, its call is cancelled at the server at once, and is not sent
//	    if it was not yet.
//	W6  A call that is given up is answered at once, with Retry-After if it did
//	    not run.
//	W7  The bodies of calls take a part of the node's memory at most. A call whose body does
//	    not fit is refused at once, before it is read.
//	W8  The long answers that are kept until clients have read them take a part of it at most.
//	    One that does not fit is read when there is memory for it, before the call's deadline.
//	W9  A node that stops refuses calls that have not run and may last longer than it does: from the
//	    moment at which it accepts no further ones, and at once, those that wait for a slot or
//	    whose bodies are incomplete as well. Calls in flight at its end are answered before
//	    their connections close.
//	W10 A plain service's stream of events is relayed like a model's: events as they arrive, whole
//	    ones only, and resumed after the last one where the route allows it.
//
// What a node may do with the routing depends on the routing's age, the time since it was
// last confirmed as the newest:
//
//	A1  Routes, their targets, weights, timeouts, objectives and priorities, and services
//	    are used at any age: a disconnected node continues to serve.
//	A2  Keys are accepted according to rule W4.
//	A3  A call with an unknown route or key, or with a body over the limit, is rejected
//	    permanently only while the age is below ApplyTime. An older routing rejects it as
//	    not run, with Retry-After: other nodes may have a routing that allows the call.
//	A4  A node that has never read a routing rejects all calls as not ready.
//	A5  The age is read before the routing that it refers to, so that a routing
//	    that is replaced in between never counts as younger than it is.
//
// Where a call may go in an evacuation:
//
//	E1  No server of an evacuated availability zone gets a call: no first attempt, no
//	    retry, no resumed stream. Calls in flight there end by themselves.
//	E2  A node that has not read the evacuations rejects all calls as not ready.
//	E3  A call that only servers of evacuated zones could take is rejected at once.
//
// What servers say of themselves in the headers of their answers holds for all later calls of
// the node, of every kind:
//
//	B1  A limit of calls, a requested backoff, and that the server leaves, are recorded
//	    when the headers arrive, and are kept where calls get their slots.
//	B2  They belong to the server's incarnation. An answer with status 421 comes from
//	    another server and says nothing.
//
// A node that reaches no server of a call's service, or has no share left of the limits of all
// groups that could serve it, hands the call to another node (package delegator):
//
//	T1  Only a call of which no attempt reached a server, or may have, is handed over, and
//	    only by the node that got it from the client.
//	T2  A call that another node may have received is not sent again.
//	T3  The node that takes it over checks its key anew and keeps limits, backoffs,
//	    evacuations and the deadline from the client's request on. It alone counts the
//	    call and its retries.
//	T4  A call that only limited groups could serve is handed to a node that is chosen for one of
//	    them (rule L1), which refuses it as untaken if it has no place in time either.
//	    Each node keeps its own share, so that the limits hold however many calls are
//	    handed over.
package gateway
