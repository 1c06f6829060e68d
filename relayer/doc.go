// Package relayer lets the nodes of a cell read the object API once for all. The
// first node of the cell reads it; the others ask that node, and read for
// themselves when it does not answer or is out of touch.
//
// A store counts each call, and a waiting watch as one, so the calls of a site in
// which every node watches grow with its nodes, and so does what they cost.
//
//	Y1  Any node answers with what it knows; none is appointed. Two nodes that
//	    disagree on who is first cost some calls and no correctness.
//	Y2  An answer states the age of its contents at most, and ages add up from
//	    node to node, so that a reader knows a bound whatever the way.
//	Y3  A node whose contents are older than MaxAge is stale: it refuses to answer, and
//	    its askers read the object API themselves.
//	Y4  Objects keep their revisions. A reader at an older revision than a node
//	    remembers gets all objects instead of changes.
//	Y5  While the object API fails a node, and a relay answers it, it backs off from the
//	    object API: others find its return. A node that no relay answers keeps calling.
//	Y6  While a whole site starts for the first time, and no call comes yet, a node leaves
//	    the first reading to those that it will ask.
//	Y7  While the object API fails a node, and no relay helps, it asks its spares, any
//	    other nodes, one at random until one helps, and that one from then on. It does
//	    not pass on what it has from a spare: the spare may be asking it. A node that
//	    reads for others tries the object API once more first.
package relayer
