package garnetworks_test

import (
	"testing"

	"github.com/garnetworks/garnetworks"
)

// Guards against a revision of an earlier era that goes before one of a later era, or equals it.
func TestRevisionsAreOrderedByEra(t *testing.T) {
	const highest = 1<<40 - 1
	for name, c := range map[string]struct{ lower, higher garnetworks.Revision }{
		"one era":             {garnetworks.NewRevision(1, 4), garnetworks.NewRevision(1, 5)},
		"same number":         {garnetworks.NewRevision(1, 4), garnetworks.NewRevision(2, 4)},
		"lower number":        {garnetworks.NewRevision(1, 900), garnetworks.NewRevision(2, 4)},
		"highest number":      {garnetworks.NewRevision(1, highest), garnetworks.NewRevision(2, 0)},
		"number out of range": {garnetworks.NewRevision(1, highest+7), garnetworks.NewRevision(2, 0)},
		"first era":           {garnetworks.Revision(7), garnetworks.NewRevision(1, 1)},
		"highest era":         {garnetworks.NewRevision(garnetworks.MaxEra-1, 3), garnetworks.NewRevision(garnetworks.MaxEra+5, 3)},
	} {
		if c.lower >= c.higher {
			t.Errorf("%s: %s is not below %s", name, c.lower, c.higher)
		}
	}
}

// Guards against an era or a number that changes on its way through a revision.
func TestRevisionHoldsEraAndNumber(t *testing.T) {
	for text, c := range map[string]struct {
		era    garnetworks.Era
		number uint64
	}{
		"0": {}, "17": {number: 17}, "1/17": {1, 17}, "16777215/1099511627775": {garnetworks.MaxEra, 1<<40 - 1},
	} {
		r := garnetworks.NewRevision(c.era, c.number)
		if r.Era() != c.era || r.Number() != c.number || r.String() != text {
			t.Errorf("got %s, era %d, number %d; want %s", r, r.Era(), r.Number(), text)
		}
	}
}
