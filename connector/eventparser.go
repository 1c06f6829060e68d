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
// It parses the common form of an event itself, an object of small numbers and strings,
// because encoding/json allocates several times for each. Everything else is left to
// encoding/json, and both give the same result.
type eventDecoder struct {
	data []byte
	// at is the index of the next byte of data.
	at int
	// scratch holds the string being parsed.
	scratch []byte
	texts   strings.Builder
}

// decode decodes data into event.
func (d *eventDecoder) decode(data []byte, event *EventBody) error {
	if d.parse(data, event) {
		return nil
	}
	*event = EventBody{}
	return json.Unmarshal(data, event)
}

// parse decodes data of the common form into event. If it returns false, event is
// undefined and encoding/json must decode data.
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

// field parses a field's name and value; a repeated field overwrites the earlier one. It
// leaves loads, which are rare, to encoding/json.
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

// name parses a field name and its colon; nil if there is none.
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

// consume skips spaces and then c, and reports whether c was there.
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

// maxDigits keeps numbers within 32 bits.
const maxDigits = 9

// number parses a non-negative integer. It does not check what follows.
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

// text parses a string. It rejects invalid UTF-8, which encoding/json replaces.
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

// copyUnescaped appends to scratch up to the next quote, backslash or control character.
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

// escape parses an escape sequence.
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

// textBlockBytes is the size of the blocks that hold texts. One block serves many tokens,
// and is small enough that a retained text keeps little else alive.
const textBlockBytes = 512

// copyText returns text as a string. Strings share blocks, which is safe because a builder
// never overwrites what it has returned.
func (d *eventDecoder) copyText(text []byte) string {
	if d.texts.Cap()-d.texts.Len() < len(text) {
		d.texts = strings.Builder{}
		d.texts.Grow(max(textBlockBytes, len(text)))
	}
	start := d.texts.Len()
	d.texts.Write(text)
	return d.texts.String()[start:]
}
