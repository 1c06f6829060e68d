package forwarder

import (
	"github.com/garnetworks/garnetworks"
	"github.com/pkg/errors"
)

// errContradictingChunk says that a chunk does not fit the delivered answer.
var errContradictingChunk = errors.New("the chunk contradicts the delivered answer")

// MaxAnswerBytes limits the text of one answer, which a node keeps until the end to be able to
// resume it.
const MaxAnswerBytes = 4 << 20

// transcript is the delivered part of an answer over all attempts; it implements rule F3. It
// does no I/O and is not safe for concurrent use.
type transcript struct {
	maxTokens int
	// tokens is the number of delivered tokens and the index of the next one.
	tokens int
	// text is the delivered text.
	text []byte
	// starts holds the starts of the latest chunks as a ring buffer.
	starts [maxStarts]position
	// cursor is the end of the attempt's last chunk that only repeated delivered tokens.
	cursor position
}

// maxStarts is the number of chunk starts at which an overlap can begin, in addition to the
// start of the answer: engines resume from a checkpoint a few tokens back.
const maxStarts = 32

// position is a token's index and the byte offset of its text.
type position struct {
	index  int
	offset int
}

// beginAttempt starts a new attempt.
func (t *transcript) beginAttempt() { t.cursor = position{} }

// accept checks a chunk and returns its new part, which is empty if the chunk only repeats
// delivered tokens or has none.
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
		// An engine that skips tokens when it resumes would leave a gap in an answer that looks
		// complete to the caller.
		return Part{}, errContradictingChunk
	case c.Index < t.tokens:
		return t.overlap(c)
	}
	return t.extend(c.Text, c.Tokens), nil
}

// overlap handles a chunk that begins before the end of the delivered answer.
//
// An engine that ignores the resume position generates the answer again, and with random
// sampling a different one. Cut by position alone, two different texts would be joined, so
// the repeated text must match.
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

// offset returns the byte offset of the token's text, if it is known.
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
