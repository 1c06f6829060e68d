// Package committer implements the commit protocol for manifests: an operator's proposal
// is staged by every live node, accepted by one conditional update, and tracked until it
// is in force everywhere.
//
// All decisions are recorded in one small object, the head: the accepted manifest, the
// pending proposal, and the outcomes of recent commits. Manifests themselves are stored in
// separate, immutable objects. Everything else is exchanged between nodes.
//
// The rules:
//
//	M1  The head changes only by conditional updates. At most one proposal is
//	    pending. It names its base generation, and either becomes that generation
//	    plus one or has no effect.
//	M2  A node applies the highest generation that it knows to be accepted,
//	    whichever source it came from, and never a lower one (rule G10).
//	M3  A commit identifier is proposed at most once. The head keeps the outcomes of
//	    recent commits, so that a repeated request returns the outcome of the first.
//	M4  After a lost response, the outcome of a write is determined from the head
//	    alone: the write took effect if the head records the commit; it did not if
//	    a conditional update after the same revision has succeeded since (rule G11).
//	M5  A proposal is accepted once every live node of every zone that it does not
//	    exclude has staged it, which means decoded, checked and kept it. A node that
//	    refuses the proposal ends it.
//	M6  A zone without known live nodes has staged and confirmed nothing; it holds
//	    the proposal until it returns or is excluded.
//	M7  A generation is "in force" once every live node of every zone that the
//	    manifest does not exclude has reported that it has applied it. A report is
//	    valid only for the incarnation that sent it.
//	M8  The reports of a zone's nodes are merged into one. Merging never discards a
//	    newer report, so any node may do it. Of n nodes the k-th waits k periods
//	    before it publishes or writes in place of the nodes before it.
//	M9  A new node obtains the newest generation from the object API or its peers
//	    before it becomes ready; a node that reaches neither stays unready.
//	M10 A manifest that this program can't decode completely is never applied in
//	    part; the node keeps the last one that it could decode.
package committer
