package quarantiner

import "flag"

// LargeSites adds sites of 986 nodes to the tests of whole sites, which take minutes.
var LargeSites = flag.Bool("large-sites", false, "test sites of 986 nodes as well")
