package router

import (
	"strings"

	"github.com/garnetworks/garnetworks"
)

// testCall returns a call whose prompt is a repeated text of the given number of blocks.
func testCall(text string, blocks int) *garnetworks.CallRequest {
	prompt := strings.Repeat(text+" ", 1+blocks*BlockBytes/len(text))[:blocks*BlockBytes]
	return &garnetworks.CallRequest{Workspace: "w", Model: "m", Prompt: prompt, MaxTokens: 100}
}
