// Package quarantiner identifies calls that crash backend servers and keeps them from
// further servers.
//
// A call that crashes each server that runs it shows as an interrupted connection, as do all
// other calls at that server. Callers retry it at any node, and each node retries it at
// another server, so that servers crash faster than they restart and harmless calls find
// none. Copies of such a call come several a second at all nodes, alongside crashes,
// partitions and domain outages that interrupt unrelated calls.
//
//	Z1  A call is identified by its content and by the shared parts of its prompt
//	    (garnetworks.CallIdentity), and a server by its incarnation. An incarnation
//	    counts once for a content or part, whoever reports it.
//	Z2  Only a detected crash counts: an interrupted connection may be the network's
//	    fault, silence that of a member or of the node itself, and a server may be
//	    deregistered because it is partitioned. A crash detected by refused connections
//	    alone is withdrawn once the incarnation answers; only another incarnation in its
//	    place is a proof.
//	Z3  A content is quarantined once CrashThreshold incarnations have crashed during it
//	    that are not attributed to another quarantined content. A crash interrupts all
//	    calls at a server, but only the culprit is in flight wherever a server crashes.
//	    While several contents have the same crashes, none is quarantined until one more
//	    server crashes.
//	Z4  A content that some server completed is exempt for ExemptionPeriod after, whatever
//	    crashes during it: a popular one is in flight at many servers of a domain that
//	    fails.
//	Z5  The state is a set of incarnations for each content; sets are merged by union. So
//	    nodes that received the same reports in any order, repeatedly or through others
//	    reach the same decisions.
//	Z6  A content with RetainThreshold crashes is stored in the object API, so that it
//	    outlives all nodes and reaches nodes that no other node reaches. The node that saw
//	    the last crash writes it, or else one that reads the object.
//	Z7  All state is bounded: MaxRecords contents with MaxRuns incarnations each at a node,
//	    MaxStored in the object API, and a quarantine that doubles with each further crash
//	    up to MaxQuarantine.
//	Z8  A part of prompts is quarantined likewise, whatever else the calls contain, once
//	    partCrashThreshold incarnations have crashed at different times before they
//	    survived the beginning of an answer to a call with it. While other parts, or the
//	    same one of a workspace or model, explain these crashes as well, only calls that
//	    have all of them are quarantined: so a call that lacks one shows which it is, by
//	    a crash or by an answer.
//	Z9  A part is exempt for partExemptionPeriod after a server survived the beginning of
//	    an answer to any call with it, and for all crashes before. Calls that are not
//	    quarantined thus acquit the parts that they share with harmful ones.
//	Z10 After the time of a quarantine one node, which claims it in the object API, lets
//	    one call through. If the server survives it, the quarantine ends at all nodes;
//	    otherwise it continues for twice as long. Without the object API it continues.
//	Z11 Harmful parts often follow a first part that sound calls have as well. If the crashes
//	    of a part are also crashes of parts behind it, the calls that have it with one of
//	    those that have minBranchCrashes or more are quarantined in its place. It is
//	    quarantined itself if a call with no part behind it crashed a server, or more than
//	    maxUnbranched calls with others, or if there would be too many branches.
package quarantiner
