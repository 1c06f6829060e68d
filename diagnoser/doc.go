// Package diagnoser reads the log lines of a site's nodes and finds the cause of each
// request that missed its route's service level. It needs only the lines, so that it works
// for any site and long after the incident.
//
//	D1  A request that missed has exactly one cause, from the closed list in causes.
//	    If no other cause fits, it is unexplained; nothing is guessed.
//	D2  A client whose call was rejected or failed retries. Calls of the same route
//	    and size that follow each other so are one request, judged by the end of the
//	    last call and the receipt of the first.
//	D3  A request has the cause of its first call that missed, without which there
//	    would have been no retry.
//	D4  Truncated and foreign lines are counted and skipped. Calls whose lines a
//	    node suppressed are reported beside the cause of the next line of the same
//	    cause, since the number of their requests is not known.
//	D5  The cost of a cause is the credit that its requests would have earned on
//	    time, less what they earned: the most that removing this cause alone can gain.
package diagnoser
