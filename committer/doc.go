// Package committer accepts manifests: it takes an operator's proposal, has
// every live node stage it, accepts it by one conditional update, and follows it
// until it is in force everywhere.
//
// One small object, the head, decides everything: which manifest is accepted,
// which proposal is pending, and what became of the last ones. Manifests
// themselves lie in objects of their own that never change. Nodes tell each
// other the rest.
//
// The rules:
//
//	M1  The head changes by conditional updates only. One proposal at most is
//	    pending; it names the generation that it builds on, and becomes that
//	    generation plus one or nothing.
//	M2  A node decides by the highest generation that it has seen accepted,
//	    whoever told it, and never by a lower one (rule G10).
//	M3  A commit identifier is proposed once at most. The head keeps what became
//	    of the last commits, so that a repeated proposal is answered by the first
//	    one's fate.
//	M4  A write whose answer was lost is concluded from the head alone: it took
//	    effect if the head tells of the commit; it did not if a conditional
//	    update after the same revision has succeeded since (rule G11).
//	M5  A proposal is accepted once every live node of every zone that it does
//	    not leave out has staged it: decoded it, checked it, and kept it. A node
//	    that refuses it ends it.
//	M6  A zone of which no live node is known has staged nothing and confirmed
//	    nothing; it holds the proposal until it is back or left out.
//	M7  "In force" is said of a generation once every live node of every zone
//	    that the manifest does not leave out has reported that it decides by it.
//	    A report counts for the incarnation that sent it.
//	M8  Reports of a zone's nodes are joined into one; joining forgets no newer
//	    report, so any node may do it. Of n nodes the k-th waits k periods before
//	    it publishes or writes what the ones before it should have.
//	M9  A new node learns the newest generation from the object API or its peers
//	    before it is ready; a node that reaches neither stays unready.
//	M10 A manifest that this program can't read in full is never applied in
//	    part; the node goes on by the last one that it could read.
package committer
