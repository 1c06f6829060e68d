// Package claimer assigns each call with an idempotency key to at most one entry node, and
// stores the answers of such calls for later calls with the same key. Its state is kept in
// the object API: Shards objects that receive all changes, and for each of them Buckets
// objects that hold records which are no longer expected to change.
//
// Rules:
//
//	C1  A claim is granted only once the record that names the call is proven to
//	    be in the store: its conditional write succeeded, or a later read found
//	    the record. Nothing is concluded from a lost response (rule G11).
//	C2  Every operation is idempotent by its call ID, so that it can be retried
//	    after a conflict or a lost response, through any node.
//	C3  The state of a record only advances: claimed, unknown, completed or
//	    released. A released key is claimed again under a higher epoch. Of two
//	    copies of a record, the one with the higher epoch wins, then the one
//	    with the later state.
//	C4  A claim that was abandoned before it was granted is released, not
//	    dropped, if its write may still take effect. The release is retried,
//	    and its record prevents the late write, and any copy of it delayed at
//	    another node, from taking the key.
//	C5  Only the node that received the call releases its claim. A node that
//	    commits for another one never does, since the claim may have been
//	    granted to the other node through a third one.
//	C6  A claim past its Until is never granted, and its key is answered as
//	    unknown until an answer is recorded; no other call gets it.
//	C7  A call is refused only on a state that was read after the call arrived,
//	    never on a cached one alone.
//	C8  A node has at most one write of a shard in flight, and its writes are
//	    spaced by an interval that grows with the number of writing nodes, so
//	    that the write rate depends on the number of shards, not of calls.
//	C9  A settled record is written to its bucket before it is removed from its
//	    shard, and the shard records the bucket's revision, so that a reader who
//	    finds the shard without the record knows the minimum bucket revision to
//	    read.
//	C10 A record expires only Retention after its last change and its Until, by a
//	    clock that is consistent with most of the shard's records.
//	C11 A full shard refuses new claims before it uses the space reserved for
//	    completions. An answer that does not fit is dropped; the record that the
//	    call completed never is.
//	C12 In a new era of the object API, records written since the copy are gone. Each
//	    node writes those again that it knows from a cached shard, and the claims of
//	    the calls that it runs. A node grants and releases nothing for EraHold after
//	    it has learned of an era, so that the others have done so, and looks for a
//	    new era as long as it knows of claims that a copy may lack. Claims are lost
//	    only if the nodes that received, committed and read them have all ended, or
//	    do not reach the object API within EraHold.
package claimer
