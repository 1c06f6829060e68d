package garnetworks

import "testing"

// Story: a caller sends the same thing again, with another identifier, key and deadline.
// It is the same content; anything else in target, workspace or body is another.
func TestContentIsTargetWorkspaceAndBody(t *testing.T) {
	call := PassedCall{ID: "1", Key: "k", Host: "a", Target: "/x", Body: []byte("body"), PromptTokens: 3}
	first := call.Content("w")
	cases := map[string]struct {
		call      PassedCall
		workspace WorkspaceName
		same      bool
	}{
		"another copy":      {PassedCall{ID: "2", Key: "l", Host: "a", Target: "/x", Body: []byte("body")}, "w", true},
		"another workspace": {call, "v", false},
		"another body":      {PassedCall{Host: "a", Target: "/x", Body: []byte("bodY")}, "w", false},
		"another host":      {PassedCall{Host: "b", Target: "/x", Body: []byte("body")}, "w", false},
		"another target":    {PassedCall{Host: "a", Target: "/x?y", Body: []byte("body")}, "w", false},
		"moved boundaries":  {PassedCall{Host: "a/", Target: "x", Body: []byte("body")}, "w", false},
		"body in target":    {PassedCall{Host: "a", Target: "/xbody"}, "w", false},
	}
	for name, c := range cases {
		if got := c.call.Content(c.workspace); (got == first) != c.same {
			t.Errorf("%s: digest %s, the first one's is %s", name, got, first)
		}
	}
}
