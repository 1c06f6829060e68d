package forwarder

import (
	"github.com/garnetworks/garnetworks"
	"github.com/pkg/errors"
)

// errContradiction says that a chunk does not fit what was delivered.
var errContradictingChunk = errors.New("the chunk contradicts the delivered answer")

// MaxAnswerBytes bounds the text of one answer, which a node keeps until its end
// to be able to resume it.
const MaxAnswerBytes = 4 << 20

// transcript is the delivered part of an answer over all attempts; it keeps
// rule F3. It is pure and belongs to one goroutine.
type transcript struct {
	maxTokens int
	// tokens is the number of delivered tokens, and the index of the next one.
	tokens int
	// text is the delivered text.
	text []byte
	// marks remember where the latest chunks began, newest last.
	starts [maxStarts]position
	// cursor is the end of the last overlapping chunk of the attempt.
	cursor position
}

// markCount is the number of chunk starts that an overlap can begin at, besides
// the start of the answer: engines resume from a checkpoint a few tokens back.
const maxStarts = 32

// mark pairs a token's index with the offset of its text.
type position struct {
	index  int
	offset int
}

// begin starts a new attempt.
func (t *transcript) beginAttempt() { t.cursor = position{} }

// take returns what of the chunk is new. The part is empty for a chunk that
// repeats delivered tokens or brings none.
func (t *transcript) accept(c *garnetworks.Chunk) (Part, error) {
	if c.Tokens < 0 || c.Index < 0 || c.Index+c.Tokens > t.maxTokens {
		return Part{}, errContradictingChunk
	}
	if c.Tokens == 0 && c.Text == "" {
		return Part{}, nil
	}
	if len(t.text)+len(c.Text) > MaxAnswerBytes {
		return Part{}, errContradictingChunk
	}
	switch {
	case c.Index > t.tokens:
		// Failure: an engine skips tokens when it resumes; the caller would read
		// an answer with a hole in it that looks whole.
		return Part{}, errContradictingChunk
	case c.Index < t.tokens:
		return t.overlap(c)
	}
	return t.extend(c.Text, c.Tokens), nil
}

// overlap handles a chunk that begins before the end of what was delivered.
//
// Failure: an engine ignores the point of resumption and generates the answer
// anew, which differs where sampling is random; cut by position alone, two
// different texts would be joined. So the repeated text must be the same.
func (t *transcript) overlap(c *garnetworks.Chunk) (Part, error) {
	offset, ok := t.offset(c.Index)
	if !ok {
		return Part{}, errContradictingChunk
	}
	delivered := string(t.text[offset:])
	end := c.Index + c.Tokens
	if end <= t.tokens {
		if len(c.Text) > len(delivered) || delivered[:len(c.Text)] != c.Text {
			return Part{}, errContradictingChunk
		}
		t.cursor = position{index: end, offset: offset + len(c.Text)}
		return Part{}, nil
	}
	if len(delivered) > len(c.Text) || c.Text[:len(delivered)] != delivered {
		return Part{}, errContradictingChunk
	}
	return t.extend(c.Text[len(delivered):], end-t.tokens), nil
}

// offset returns where the text of the token begins.
func (t *transcript) offset(index int) (int, bool) {
	if index == 0 {
		return 0, true
	}
	if index == t.cursor.index {
		return t.cursor.offset, true
	}
	for _, m := range t.starts {
		if m.index == index {
			return m.offset, true
		}
	}
	return 0, false
}

func (t *transcript) extend(text string, tokens int) Part {
	t.starts[t.tokens%maxStarts] = position{index: t.tokens, offset: len(t.text)}
	t.tokens += tokens
	t.text = append(t.text, text...)
	return Part{Text: text, Tokens: tokens}
}
