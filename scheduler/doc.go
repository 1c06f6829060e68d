// Package scheduler decides at a node which calls to a model wait, which are
// rejected, and which group gets a call. It is pure: it does no I/O, starts no
// goroutines and takes the time as an argument.
//
// Load patterns and the rules that handle them:
//
//	Q1  Sustained overload. A call that waits beyond its objective is worth
//	    little to its caller and delays those behind it as well. So a call waits
//	    at most until a group could just give its first event on time, and is
//	    rejected on arrival if the calls ahead of it, at the rate at which slots
//	    become free, would make it wait longer, except for Q14. What is served is
//	    then served on time.
//	Q2  Bursts at a node that sees only a part of the traffic. The node keeps a
//	    window for each group: the number of calls that it allows there at once.
//	    The window grows by one for each full window of calls with a timely first
//	    event and shrinks by a factor after a late one, so that nodes share a group
//	    without coordination. Where nodes exchange their load, the window bounds the
//	    calls of the whole site.
//	Q3  A group that stalls or refuses calls. It gets no call during a cooldown, or the
//	    backoff that it requested, then one at a time until it answers.
//	Q4  Calls of several priorities. The most urgent come first; within a priority,
//	    the one with the earliest objective, except for Q14 and Q17.
//	Q5  A call that was interrupted by the failure of its group. It goes before all
//	    others, since its client waits between two events, and it is not rejected
//	    while a group serves.
//	Q6  Many nodes that learn of the same free slots at once. Until the next report,
//	    each takes a share of the free slots in proportion to its share of the
//	    calls, in addition to those that its own calls free. A node with few calls keeps one
//	    that it has not used.
//	Q7  Many nodes that act on the same outdated report. If each chose the least
//	    loaded group, all would send their calls there until the next report. So
//	    each call goes to the better one of a few randomly drawn groups.
//	Q8  A group that fails or never begins a part of its calls and answers the
//	    others, while its health checks pass. Each such call raises its failure
//	    rate, and while that is high, a node has few calls there at once, which
//	    show when the group has recovered.
//	Q9  Many prompts at once at one group, because it has just opened or takes over
//	    the calls of a lost group. Prefill delays the events of its other calls. So
//	    a node limits the prompts in prefill at a group to its share of what can be
//	    processed within the pause that clients allow; further calls go elsewhere or
//	    wait.
//	Q10 An availability zone that is unreachable from the node while its groups are
//	    still listed. If several of its groups do not respond and nothing is
//	    received from the zone, it gets one probing call at a time, unless no zone
//	    is reachable.
//	Q11 A group whose instances have all failed, while their entries have not
//	    lapsed. Failures that the lease holder finds by probes count at all nodes,
//	    except at a node that has just received an event from the group. A verdict that
//	    the node itself asked for counts at once, and until the group's next event.
//	Q12 A group whose head takes few calls: it is cold, as all heads of an availability
//	    zone that returns, names a limit, or requested a backoff. It gets no more calls from this node than
//	    limiter.Limit allows, whatever their kind, and its other slots count neither as
//	    free nor in the expected wait. A call that can only go to such groups, and for
//	    which they have no place in time, is rejected at once.
//	Q13 Callers that return after a rejection, to another node. Their objective counts from
//	    their first arrival, which follows from the time that they state that they will still
//	    wait. They are recognized if that is less than any caller of the route states at
//	    first; the usual times are learned while nothing is rejected.
//	Q14 Calls that can't be on time any more, because they returned. Rejecting them again makes
//	    them give up. So a call that returned, or can't be expected to return, is admitted late
//	    instead of rejected if it can be complete by its deadline. It comes after all calls that
//	    can be on time, whatever their priority, by its first arrival. Late calls take a bounded
//	    part of each window, and leave a reserve for the others.
//	Q15 Rejected callers that return together. Each gets a later time to return than those that
//	    were rejected before, by the time in which a slot becomes free, and not before its
//	    return will be recognized, within what callers follow.
//	Q16 Rejections beside free slots. A rejection names the free slots that could have served
//	    the call in time: those of groups of its model that could take it, and those of whole
//	    groups that the idle instances of another model would be enough for. Single free slots
//	    of another model are none, and neither are slots where prompts can't be prefilled.
//	Q17 A workspace that sends a multiple of the others' calls while calls of the model wait or
//	    are rejected. Served first come, first served, it displaces theirs. So its calls
//	    beyond its share, by the calls that this node gets, come after those of the same priority
//	    that can be on time, and leave a reserve in each window.
//	Q18 A node that has just started, or that learns of groups between two reports. Its
//	    callers may wait for less than the interval between reports. So it takes its part
//	    of the free slots of new groups at once, by the last report of its peers. A node
//	    without a report uses its own windows only: its last share of the site's calls
//	    says nothing of calls that it can't see, and scaled by a share of one in 89 each
//	    of its calls would fill a group. It takes over the first event and service times
//	    and the windows that another node has recently observed, until it has observations
//	    of its own.
//	Q19 More prompts than the groups can prefill, at many nodes. Each sees less than a call a second
//	    at a group and learns nothing from its own first events (Q2), and all first events are
//	    late, not only those of the calls in excess. So a node places the fraction of its calls that the
//	    groups can give a first event on time, by their rate of prefill and the rate at which calls
//	    arrive at all nodes. The others go only to a group that has no prompt to prefill for any
//	    node, or are rejected, and few calls that can only be late are placed meanwhile. Where no
//	    group's rate counts, none is taken to be in excess.
package scheduler
