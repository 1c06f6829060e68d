package connector

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"strings"
	"unicode/utf16"
	"unicode/utf8"
)

// eventDecoder decodes the data of a stream's events.
//
// encoding/json decodes any event, at two or three allocations and about a
// microsecond each. Almost all events are of one shape, an object of small
// numbers and short texts; those are parsed here. Whatever is not surely of that
// shape is left to encoding/json, so the result never depends on who decoded it.
type eventDecoder struct {
	data []byte
	// at is the position of the next byte of data.
	at int
	// scratch holds the text that is being parsed.
	scratch []byte
	texts   strings.Builder
}

// decode fills event from data.
func (d *eventDecoder) decode(data []byte, event *EventBody) error {
	if d.parse(data, event) {
		return nil
	}
	*event = EventBody{}
	return json.Unmarshal(data, event)
}

// parse fills event from data of the usual shape. False leaves data to
// encoding/json and event in any state.
func (d *eventDecoder) parse(data []byte, event *EventBody) bool {
	d.data, d.at = data, 0
	*event = EventBody{}
	if !d.consume('{') {
		return false
	}
	for {
		if !d.field(event) {
			return false
		}
		if !d.consume(',') {
			return d.consume('}') && d.at == len(d.data)
		}
	}
}

// field parses a field's name and value; of two with one name the last counts. A
// load comes once in an answer and is left to encoding/json.
func (d *eventDecoder) field(event *EventBody) (ok bool) {
	switch string(d.name()) {
	case "index":
		event.Index, ok = d.number()
	case "tokens":
		event.Tokens, ok = d.number()
	case "text":
		event.Text, ok = d.text()
	case "finish-reason":
		event.FinishReason, ok = d.text()
	}
	return ok
}

// name parses a name and the colon after it.
func (d *eventDecoder) name() []byte {
	if !d.consume('"') {
		return nil
	}
	name, _, _ := bytes.Cut(d.data[d.at:], []byte{'"'})
	d.at = min(d.at+len(name)+1, len(d.data))
	if !d.consume(':') {
		return nil
	}
	return name
}

// consume skips spaces, and c if it comes next.
func (d *eventDecoder) consume(c byte) bool {
	for d.at < len(d.data) && d.data[d.at] == ' ' {
		d.at++
	}
	if d.at == len(d.data) || d.data[d.at] != c {
		return false
	}
	d.at++
	return true
}

// maxDigits keeps numbers within an int of 32 bits.
const maxDigits = 9

// number parses a whole number without sign; what follows it is for the caller
// to refuse.
func (d *eventDecoder) number() (int, bool) {
	for d.at < len(d.data) && d.data[d.at] == ' ' {
		d.at++
	}
	start, n := d.at, 0
	for d.at < len(d.data) && d.data[d.at]-'0' <= 9 {
		n = n*10 + int(d.data[d.at]-'0')
		d.at++
	}
	digits := d.at - start
	leadingZero := digits > 1 && d.data[start] == '0'
	return n, digits > 0 && digits <= maxDigits && !leadingZero
}

// text parses a string. Broken UTF-8, which encoding/json replaces, is left to it.
func (d *eventDecoder) text() (string, bool) {
	if !d.consume('"') {
		return "", false
	}
	d.scratch = d.scratch[:0]
	for {
		d.copyUnescaped()
		if d.at == len(d.data) {
			return "", false
		}
		if d.data[d.at] == '"' {
			d.at++
			return d.copyText(d.scratch), utf8.Valid(d.scratch)
		}
		if d.data[d.at] != '\\' || !d.escape() {
			return "", false
		}
	}
}

// copyUnescaped copies what stands for itself.
func (d *eventDecoder) copyUnescaped() {
	start := d.at
	for d.at < len(d.data) {
		c := d.data[d.at]
		if c < ' ' || c == '"' || c == '\\' {
			break
		}
		d.at++
	}
	d.scratch = append(d.scratch, d.data[start:d.at]...)
}

// escape parses a backslash and what belongs to it.
func (d *eventDecoder) escape() bool {
	if len(d.data)-d.at < 2 {
		return false
	}
	c := d.data[d.at+1]
	d.at += 2
	switch c {
	case '"', '\\', '/':
	case 'b':
		c = '\b'
	case 'f':
		c = '\f'
	case 'n':
		c = '\n'
	case 'r':
		c = '\r'
	case 't':
		c = '\t'
	case 'u':
		return d.codePoint()
	default:
		return false
	}
	d.scratch = append(d.scratch, c)
	return true
}

// codePoint parses the digits after \u, and the second half of a surrogate pair.
func (d *eventDecoder) codePoint() bool {
	r, ok := d.hex()
	if !ok {
		return false
	}
	if utf16.IsSurrogate(r) {
		if !bytes.HasPrefix(d.data[d.at:], []byte(`\u`)) {
			return false
		}
		d.at += len(`\u`)
		second, ok := d.hex()
		if r = utf16.DecodeRune(r, second); !ok || r == utf8.RuneError {
			return false
		}
	}
	d.scratch = utf8.AppendRune(d.scratch, r)
	return true
}

func (d *eventDecoder) hex() (rune, bool) {
	var b [2]byte
	if len(d.data)-d.at < hex.EncodedLen(len(b)) {
		return 0, false
	}
	digits := d.data[d.at : d.at+hex.EncodedLen(len(b))]
	d.at += len(digits)
	_, err := hex.Decode(b[:], digits)
	return rune(b[0])<<8 | rune(b[1]), err == nil
}

// textBlockBytes is the size of the blocks that texts are kept in: one allocation
// for some hundred tokens, and little that a waiting part keeps alive.
const textBlockBytes = 512

// copyText returns text as a string. Strings share blocks: a builder never writes
// again what it has handed out.
func (d *eventDecoder) copyText(text []byte) string {
	if d.texts.Cap()-d.texts.Len() < len(text) {
		d.texts = strings.Builder{}
		d.texts.Grow(max(textBlockBytes, len(text)))
	}
	start := d.texts.Len()
	d.texts.Write(text)
	return d.texts.String()[start:]
}
