package server

import (
	"slices"
	"testing"

	"github.com/garnetworks/garnetworks"
)

// Guards against chats that share a message not being recognized as such.
func TestChatNamesItsSharedMessages(t *testing.T) {
	system, earlier := garnetworks.PromptPartOf("be short"), garnetworks.PromptPartOf("hello")
	cases := map[string]struct {
		messages string
		want     []garnetworks.PromptPart
	}{
		"only its own message": {`{"role":"user","content":"hello"}`, nil},
		"a system message":     {`{"role":"system","content":"be short"},{"role":"user","content":"hello"}`, []garnetworks.PromptPart{system}},
		"a later turn":         {`{"role":"system","content":"be short"},{"role":"user","content":[{"type":"text","text":"hello"}]},{"role":"user","content":"more"}`, []garnetworks.PromptPart{system, earlier}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			request, err := parseChat([]byte(`{"model":"m","messages":[` + c.messages + `]}`))
			if err != nil || !slices.Equal(request.SharedParts, c.want) {
				t.Errorf("shared parts %q (%v), want %q", request.SharedParts, err, c.want)
			}
		})
	}
}
