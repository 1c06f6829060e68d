// Package scheduler decides at a node which calls to a model wait, which are
// turned away, and which group gets a call. It is pure: it does no I/O, starts
// nothing and takes the time as an argument.
//
// Load patterns and the rules that answer them:
//
//	Q1  More calls than the groups can serve, for long. A call that waits until
//	    its objective has passed is worth little to its caller, and one that
//	    waits behind it is late as well. So a call waits at most
//	    until a group would just give its first event in time, and is turned away on arrival if the calls
//	    before it, at the rate at which places come free, would make it wait
//	    longer. What is served is then served on time.
//	Q2  A burst at a node that sees a part of the traffic. Each group has a
//	    window at this node, the number of calls that the node keeps there at
//	    once. It grows by one for each full window of calls whose first event came
//	    in time and shrinks by a part when one came late, so that nodes share a
//	    group without talking about it.
//	    Where nodes tell each other their calls, the window is the site's.
//	Q3  A group that stands still or refuses. It gets no call for a while, then
//	    one at a time until it answers.
//	Q4  Calls of several priorities. The most urgent come first; within a priority
//	    the one whose objective ends first.
//	Q5  A call that was cut off with its group. It goes before all others, since
//	    its client waits between two events, and it is not turned away while a
//	    group serves.
//	Q6  Many nodes that hear of the same free place at once. Each takes its part of
//	    the free places, by its part of the calls, until it hears of the others
//	    again, besides those that its own calls leave.
//	Q7  Many nodes with the same news, some calls old. If each chose the group with
//	    the fewest calls, all would send theirs to it until the next news, and its
//	    calls would wait for each other's prompts. So each call takes the better one
//	    of a few groups drawn at random.
//	Q8  A group that fails or never begins a part of its calls and answers the
//	    others: its engine's health is good, and it gives events all the time. Each
//	    such call counts against it, and while too many of its last ones did, a node
//	    has few calls there at once, which show when it is well again.
//	Q9  Many prompts at once at one group: it has just opened and is the emptiest, or
//	    calls of a lost group move there. It reads them between two events of its
//	    other calls, which are late then, all of them. So a node lets a group read its
//	    part of what can be read within the pause that clients allow, and its next
//	    call goes elsewhere or waits until that is read.
//	Q10 A zone that is cut off from the node: for four seconds its groups are listed, and
//	    a third of the calls went there, each to wait for a connection in vain. Several
//	    groups give no sign of life, and nothing is heard from the zone. So the whole zone
//	    rests, and one call at a time tries the way again, unless no zone is reached.
//	Q11 A group whose instances all went dark: nothing changes in the list until their
//	    entries lapse, four seconds later, and meanwhile each node sent it its calls and
//	    found it by itself. So what the holder of the lease has found by probes counts at
//	    all nodes, but where a group just gave an event.
package scheduler
