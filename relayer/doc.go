// Package relayer lets nodes share their reads of the object API. A node reads through its
// relays, the nodes that Options.Relays returns, and is a follower of theirs. It calls the
// object API itself only if it has no relays, or if none responds with fresh contents.
//
// The object API counts each call, and a waiting watch as one. If each node watched it, the
// calls and their cost would grow with the number of nodes.
//
//	Y1  Each node serves the contents that it has; there is no election. If two nodes
//	    disagree on which one reads the object API, that costs calls, not correctness.
//	Y2  A response states the maximum age of its contents. Ages add up from node to
//	    node, so that a reader knows a bound on any path.
//	Y3  A node whose contents are older than the maximum age is stale: it refuses requests, and
//	    its followers read the object API themselves.
//	Y4  Objects keep their revisions. A follower whose revision precedes the node's
//	    change history gets all objects instead of changes.
//	Y5  While the object API fails a node, and a relay responds to it, the node backs
//	    off from the object API: other nodes detect its return. A node to which no
//	    relay responds keeps calling.
//	Y6  A node that has just started leaves the first read to its relays for a while,
//	    for longer if the whole site starts for the first time and no calls arrive
//	    yet. Otherwise all nodes read all objects at once after all were killed, and
//	    the object API's responses take the longer the more nodes there are. It asks one
//	    relay after the other meanwhile.
//	Y7  While the object API fails a node, and no relay helps, the node asks its
//	    fallbacks, which are any other nodes: one at random until one responds with
//	    fresh contents, and that one from then on. It doesn't pass on the contents of
//	    a fallback, since the fallback may be following it. A node that reads for
//	    others retries the object API once before that. A node that was asked watches as
//	    often as one with followers for a while, so that its contents are fresh.
//	Y8  The maximum age and the waits of a prefix grow with the time within which its
//	    changes must apply, so that idle traffic does not exceed what the bound needs.
//	Y9  A node passes on the newest version of an object that it knows, where versions
//	    are ordered by more than revisions, although an object API that came back
//	    from an older copy returns an older one.
//	Y10 A node that has no contents asks some other nodes what they know, whatever its age,
//	    before it uses what it reads from an object API that came back from a copy, where
//	    versions are ordered by more than revisions. Alone, it uses what it reads and says so.
package relayer
