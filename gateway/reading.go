package gateway

import "github.com/garnetworks/garnetworks"

// reading sums the prompt tokens of this node's calls that each group has not read to
// the end yet; the gateway's lock guards it. It tells why a first event was late.
type reading map[garnetworks.GroupID]int

// begin adds a call's prompt and returns what was there before it.
func (r reading) begin(group garnetworks.GroupID, tokens int) int {
	before := r[group]
	r[group] = before + tokens
	return before
}

// end takes a prompt out that was read, or given up.
func (r reading) end(group garnetworks.GroupID, tokens int) {
	if r[group] -= tokens; r[group] <= 0 {
		delete(r, group)
	}
}
