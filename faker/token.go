package faker

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/garnetworks/garnetworks"
)

var vocabulary = []string{
	"pump", "valve", "seal", "motor", "gauge", "well", "the", "of", "and", "was",
	"fixture", "referee", "match", "roster", "office", "a", "to", "in", "is", "ö",
}

// Token returns the text of the token at index of the response (rule F3).
func Token(call *garnetworks.CallRequest, index int) string {
	d := xxhash.New()
	_, _ = d.WriteString(string(call.Model) + "\x00" + string(call.Adapter) + "\x00" + call.Prompt + "\x00")
	_, _ = d.WriteString(strconv.Itoa(index))
	return vocabulary[d.Sum64()%uint64(len(vocabulary))] + " "
}

// AnswerText returns the text of the response's tokens in the range [first, end).
func AnswerText(call *garnetworks.CallRequest, first, end int) string {
	var b strings.Builder
	for i := first; i < end; i++ {
		b.WriteString(Token(call, i))
	}
	return b.String()
}
