// Package quarantiner finds the calls under which backend servers end, and keeps them from
// further servers.
//
// Failure: a call ends each server that begins to run it. It shows as a connection that
// breaks off; all other calls at that server break off with it. Callers send it again, to
// any node, and each node repeats it at another server, so that servers end faster than
// they start and sound calls find none.
//
// Load pattern: copies of one call come several a second at all nodes, beside crashes,
// partitions and dark domains that end servers under calls that have no part in it.
//
//	Z1  A call is known by its content (garnetworks.ContentDigest), and a server by its
//	    life. The same life counts once for a content, whoever tells of it.
//	Z2  Only a life whose end was found out counts: a connection that breaks off may be the
//	    network's fault, silence that of a member or of the node itself, and an entry may
//	    go because its server is cut off. What was found out by refused connections alone
//	    is withdrawn once the life answers; only another life in its place is a proof.
//	Z3  A content is held once MostEnds lives have ended under it that no other held
//	    content explains. All calls at a server end with it, but only one of them is in
//	    flight wherever a server ends. While several contents have the same ends, none is
//	    held until one more server ends.
//	Z4  A content that some server answered whole is sound for SoundTime after, whatever
//	    ends under it: a popular one is in flight at many of the servers of a domain that
//	    goes dark.
//	Z5  What is known is a set of lives for each content; sets are joined. So nodes that
//	    heard the same in any order, twice or through others decide the same.
//	Z6  A content under which StoredEnds lives were found to have ended is in the object
//	    API, so that it outlives all nodes, and reaches those that no other node reaches.
//	    The node that saw the last end writes it, or else one that reads it.
//	Z7  All is bounded: MostRecords contents with MostRuns lives each at a node, MostStored
//	    in the object API, and a hold that doubles with each further end up to LongestHold.
package quarantiner
