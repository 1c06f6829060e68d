// Package granter splits the site's power cap into grants for the availability
// zones, and says what a zone may do within its grant. It is pure; the ledger
// and the zones' statements are objects of the object API, written
// conditionally by the site's and the zones' controllers.
//
// Rules:
//
//	W1  A zone counts with the highest of its grant, its limit and its draw. A
//	    grant grows only while the sum over all zones stays at or under the cap.
//	W2  A grant falls only to what the zone has confirmed with a statement that
//	    names the ledger version in which it was asked to shrink. A zone that
//	    does not answer keeps its grant.
//	W3  A zone raises its limit only to the lower of granted and wanted in a
//	    ledger at least as new as the one that its statement names, and draws
//	    more only after the raised limit is written.
//	W4  A zone that is asked to shrink draws no more at once, and confirms once
//	    enough instances are proven off.
//	W5  A zone that was never granted anything powers nothing on or off; a zone
//	    that can't read the ledger keeps to its last limit.
//	W6  The cap in the ledger falls only as far as the zones' sum has fallen.
//	W7  A ledger is never written by a manifest generation or a term lower than
//	    the one it holds.
//	W8  Targets follow whole groups: first the models' minimum groups in order
//	    of priority, then the others; what is left is shared by need. A wanted
//	    grant moves at most once in MoveEvery, and only by MinMove or more,
//	    unless the cap, the manifest or the set of zones changed. So a zone's
//	    grant changes direction at most 3600 s / MoveEvery times an hour.
//	W9  Until every zone of the manifest that is not left out has stated its
//	    draw once, no grant grows beyond what its zone draws already: what an
//	    unknown zone draws is not known to be 0.
package granter
