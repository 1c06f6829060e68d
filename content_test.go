package garnetworks

import "testing"

// A digest ignores the call's identifier, key and deadline, and changes with the target,
// the workspace or the body.
func TestContentDigestCoversTargetWorkspaceAndBody(t *testing.T) {
	call := ProxiedCall{ID: "1", WorkspaceKey: "k", Host: "a", Target: "/x", Body: []byte("body"), PromptTokens: 3}
	original := call.ContentDigest("w")
	cases := map[string]struct {
		call      ProxiedCall
		workspace WorkspaceName
		same      bool
	}{
		"another copy":      {ProxiedCall{ID: "2", WorkspaceKey: "l", Host: "a", Target: "/x", Body: []byte("body")}, "w", true},
		"another workspace": {call, "v", false},
		"another body":      {ProxiedCall{Host: "a", Target: "/x", Body: []byte("bodY")}, "w", false},
		"another host":      {ProxiedCall{Host: "b", Target: "/x", Body: []byte("body")}, "w", false},
		"another target":    {ProxiedCall{Host: "a", Target: "/x?y", Body: []byte("body")}, "w", false},
		"moved boundaries":  {ProxiedCall{Host: "a/", Target: "x", Body: []byte("body")}, "w", false},
		"body in target":    {ProxiedCall{Host: "a", Target: "/xbody"}, "w", false},
	}
	for name, c := range cases {
		if got := c.call.ContentDigest(c.workspace); (got == original) != c.same {
			t.Errorf("%s: digest %s, the first one's is %s", name, got, original)
		}
	}
}
