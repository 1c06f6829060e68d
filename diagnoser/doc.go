// Package diagnoser reads the log lines of a site's nodes and says of every request
// that was not served as its route promises why that was so. It needs nothing but the
// lines, so that it works on any site and long after the event.
//
//	D1  A request that missed has exactly one cause out of the closed list in causes.
//	    What fits no other is unexplained; nothing is guessed.
//	D2  A client that was turned away, or whose call failed, asks again. Its calls have
//	    the same route and the same size; they are one request, which is judged by the
//	    last one's end and the first one's receipt.
//	D3  A request has the cause of its first call that missed: without it there would
//	    have been no second one.
//	D4  Lines that are cut or foreign are counted and passed over. Calls whose
//	    lines a node held back are told beside the cause of the next line like them:
//	    how many requests they were is not known.
//	D5  What a cause costs is the credit that the requests with it would have earned
//	    on time, less what they earned: the most that mending it alone can bring.
package diagnoser
