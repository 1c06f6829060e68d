// Package watcher follows the objects under a prefix of the object API. It delivers the
// latest state of every object to its user despite lost connections, outages and compacted
// histories, and never delivers an older state after a newer one.
//
// The package keeps these rules:
//
//	W1  A watch that has sent nothing for Wait and Margin has stalled: its
//	    connection may be dead although new ones work. The watch is abandoned and
//	    the prefix is listed again.
//	W2  A list that reflects an older revision of the store than one already
//	    seen is rejected. An object is delivered only if its revision is above
//	    the one last delivered for its key.
//	W3  An object that is missing from a list is delivered as deleted, because it
//	    may have been deleted between two watches.
//	W4  After a failure the next call waits for a random time below a ceiling that
//	    doubles up to RetryMax, so that the calls of all nodes spread over
//	    RetryMax when an outage ends.
//	W5  Even a prefix whose watches succeed is listed again every Relist, so that
//	    a change that a watch missed is found within that time.
//	W6  A failed call begins an outage only if the object API gives no answer, to
//	    this process or to another one that it reads through, for MinOutage. A
//	    waiting watch may be cut off although the object API is available, as often
//	    as it likes.
package watcher
