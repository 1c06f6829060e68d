// Package splitter splits JSON texts into their members without decoding these, whatever they contain. A
// decoder refuses a whole text for one value in it that is nested too deeply; a text that is split first has
// its other members decoded.
//
//	C1  A member's text is returned as it is. Whether it is valid JSON is for its decoder to say.
//	C2  Memory and time are linear in the text, and the stack does not grow with its nesting.
//	C3  Of members with the same name the last one counts, as for a decoder.
package splitter

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// Object returns the members of a JSON object by their names.
func Object(text []byte) (map[string]json.RawMessage, error) {
	s := scanner{text: text}
	members := make(map[string]json.RawMessage)
	err := s.members('{', '}', func() error {
		name, err := s.name()
		if err != nil {
			return err
		}
		value, err := s.value()
		members[name] = value // rule C3
		return err
	})
	return members, err
}

// Decode decodes members into what into has under their names. Missing ones are left out.
func Decode(members map[string]json.RawMessage, into map[string]any) error {
	for name, target := range into {
		if text, ok := members[name]; ok {
			if err := json.Unmarshal(text, target); err != nil {
				return errors.Wrapf(err, "member %s", name)
			}
		}
	}
	return nil
}

// Array returns the elements of a JSON array. A missing array and null have none.
func Array(text []byte) ([]json.RawMessage, error) {
	if text == nil || string(text) == "null" {
		return nil, nil
	}
	s := scanner{text: text}
	var elements []json.RawMessage
	err := s.members('[', ']', func() error {
		value, err := s.value()
		elements = append(elements, value)
		return err
	})
	return elements, err
}

// scanner reads a text from its beginning; at is the position of the next byte.
type scanner struct {
	text []byte
	at   int
}

// next skips white space and returns the next byte without taking it, 0 at the end.
func (s *scanner) next() byte {
	for s.at < len(s.text) {
		switch c := s.text[s.at]; c {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return c
		}
	}
	return 0
}

// take takes the next byte, which must be c.
func (s *scanner) take(c byte) error {
	if got := s.next(); got != c {
		return errors.Errorf("byte %d of the text is %q, not %q", s.at, got, c)
	}
	s.at++
	return nil
}

// members calls read at each member between two brackets. Nothing may follow the second one.
func (s *scanner) members(open, end byte, read func() error) error {
	if err := s.take(open); err != nil {
		return err
	}
	for first := true; s.next() != end; first = false {
		if !first {
			if err := s.take(','); err != nil {
				return err
			}
		}
		if err := read(); err != nil {
			return err
		}
	}
	s.at++
	if s.next(); s.at < len(s.text) {
		return errors.Errorf("%d bytes follow the end of the text", len(s.text)-s.at)
	}
	return nil
}

// name takes a member's name and its colon.
func (s *scanner) name() (string, error) {
	if c := s.next(); c != '"' {
		return "", errors.Errorf("byte %d of the text is %q, where a name begins", s.at, c)
	}
	start := s.at
	if err := s.skipString(); err != nil {
		return "", err
	}
	var name string
	if err := json.Unmarshal(s.text[start:s.at], &name); err != nil {
		return "", err
	}
	return name, s.take(':')
}

// value takes a value.
func (s *scanner) value() ([]byte, error) {
	s.next()
	start := s.at
	err := s.skipValue()
	if err == nil && s.at == start {
		err = errors.Errorf("a value is missing at byte %d of the text", start)
	}
	return s.text[start:s.at:s.at], err
}

func (s *scanner) skipValue() error {
	depth := 0
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case '"':
			if err := s.skipString(); err != nil {
				return err
			}
			if depth == 0 {
				return nil
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 { // the end of what the value is in
				return nil
			}
			if depth--; depth == 0 {
				s.at++
				return nil
			}
		case ',', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return nil
			}
		}
		s.at++
	}
	if depth > 0 {
		return errors.Errorf("%d brackets are open at the end of the text", depth)
	}
	return nil
}

// skipString skips the string that begins at the next byte.
func (s *scanner) skipString() error {
	for s.at++; ; s.at += 2 { // a backslash and what it escapes
		n := bytes.IndexAny(s.text[min(s.at, len(s.text)):], `"\`)
		if n < 0 {
			s.at = len(s.text)
			return errors.New("a string has no end")
		}
		if s.at += n; s.text[s.at] == '"' {
			s.at++
			return nil
		}
	}
}
