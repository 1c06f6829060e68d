// Package watcher follows the objects under one prefix of the object API. It
// tells its user every newest state of every object, through lost connections,
// outages and compacted histories, and it never goes back to an older state.
//
// The package keeps these rules:
//
//	W1  A watch that has said nothing for Wait and Margin is silent: the
//	    connection may be dead although new ones work. It is given up and the
//	    prefix is listed anew.
//	W2  A list that reflects an older revision of the store than one already
//	    seen is refused; an object is told only if its revision is above the one
//	    last told for its key.
//	W3  An object that a list no longer holds is told as deleted, since its
//	    deletion may have happened between two watches.
//	W4  After a failure the next call waits a random time below a ceiling that
//	    doubles up to RetryMax, so that the calls of all nodes spread over
//	    RetryMax when an outage ends.
//	W5  Even a watch that seems healthy is listed anew every Relist, so that a
//	    change that a watch has skipped shows within that time.
package watcher
