package launcher_test

import (
	"net/http"
	"testing"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// Guards against streams with neither a length nor chunks passing as whole when they were broken off.
func TestStreamsThatEndWithTheirConnection(t *testing.T) {
	cases := map[string]struct {
		fault impersonator.BackendFaults
		whole bool
	}{
		"whole":                 {impersonator.BackendFaults{Unframed: true}, true},
		"ended inside an event": {impersonator.BackendFaults{Unframed: true, BreakAfter: 2}, false},
		"headers alone":         {impersonator.BackendFaults{Unframed: true, EndAfter: -1}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 9)
			s.awaitSuccess(streamURL)
			for _, e := range s.engines {
				e.UpdateFaults(func(f *impersonator.BackendFaults) { *f = c.fault })
			}
			const calls = 10
			for range calls {
				a := s.call(http.MethodPost, streamURL, nil)
				looksWhole := a.status == http.StatusOK && a.err == nil
				if looksWhole != c.whole || looksWhole && a.body != streamBody(s.engines[0].Events) {
					t.Errorf("a call got %+v", a)
				}
			}
		})
	}
}
