// Package granter splits the site's power cap into grants for the availability zones, and
// decides what a zone may draw within its grant. It does no I/O: the ledger and the zones'
// statements are objects in the object API, which the site's and the zones' controllers
// write with conditional updates.
//
// Rules:
//
//	W1  A zone is counted with the maximum of its grant, its limit and its draw. A
//	    grant grows only while the sum over all zones does not exceed the cap.
//	W2  A grant falls only to what the zone has confirmed with a statement that
//	    names the ledger version in which it was asked to shrink. A zone that
//	    does not answer keeps its grant.
//	W3  A zone raises its limit only to the lower of grant and target in a ledger
//	    at least as new as the one that its statement names, and draws more only
//	    after the raised limit is written.
//	W4  A zone that is asked to shrink draws no more from then on, and confirms
//	    once enough instances are proven off.
//	W5  A zone that was never granted anything powers nothing on or off; a zone
//	    that can't read the ledger keeps its last limit.
//	W6  The cap in the ledger falls only as far as the sum over the zones has
//	    fallen.
//	W7  A ledger is never written by a manifest generation or a term lower than
//	    the one it holds.
//	W8  Targets are allocated in whole groups: first the models' minimum groups in
//	    order of priority, then the others. The rest is shared by need. A zone's
//	    target changes at most once in MinMoveInterval and by at least
//	    1/minMoveDivisor of the cap, unless the cap, the manifest or the set of
//	    zones changed. So a zone's grant changes direction at most 3600 s /
//	    MinMoveInterval times an hour.
//	W9  Until every zone of the manifest that is not left out has stated its draw
//	    once, no grant grows beyond what its zone draws already: the draw of an
//	    unknown zone may be more than 0.
package granter
