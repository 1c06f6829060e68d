// Package claimer gives each call with an idempotency key to one entry node at
// most, and keeps the answers of such calls for later calls with the same key.
// Its state lives in the object API: Shards objects that take all changes, and
// behind each of them Buckets objects that hold what has come to rest.
//
// The package keeps these rules:
//
//	C1  A claim is told fresh only once the record that names the call is proven
//	    to be in the store: its conditional write succeeded, or a later read
//	    found the record. Nothing is concluded from a lost answer (rule G11).
//	C2  Every operation is idempotent by its call identifier, so that it can be
//	    tried again after a conflict or a lost answer, through any node.
//	C3  The state of a record only moves on: claimed, unknown, completed or
//	    released; a released key is claimed anew under a higher epoch. Two copies
//	    of a record are joined by the higher epoch, then the further state.
//	C4  A claim that was given up before it was told fresh is released, not
//	    forgotten, if its write may still land: the release goes on being tried,
//	    and its record stops the late write, and any copy of it on its way
//	    through another node, from taking the key.
//	C5  Only the node that received the call releases its claim. A node that
//	    commits for another one never does, since the other node may have been
//	    told fresh by another way.
//	C6  A claim past its Until is never told fresh, and its key is answered as
//	    unknown until an answer is recorded; no one else gets it.
//	C7  An answer that refuses a call is given from a state that was read after
//	    the call came in, never from memory alone.
//	C8  A shard has at most one write on its way from a node, and writes of one
//	    node keep a distance that grows with the number of nodes that write, so
//	    that writes grow with shards and time, not with calls.
//	C9  A record at rest is written to its bucket before it leaves its shard, and
//	    the shard names the bucket's revision, so that a reader who sees the shard
//	    without the record knows which bucket revision it must have read.
//	C10 A record is forgotten only Retention after its last change and its Until,
//	    by a clock that most of the shard's records bear out.
//	C11 A full shard refuses new claims before the reserve that completions need;
//	    an answer that does not fit is dropped, the mark that the call completed
//	    never is.
package claimer
