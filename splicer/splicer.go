// Package splicer joins the events of several runs of one stream to one answer.
// It is pure: bytes in, whole events out.
//
//	S1  Only whole events are given out. A server may break off in the middle of
//	    an event; its beginning is thrown away and the next run sends the whole.
//	S2  An event whose number is not above the last one given out is passed over,
//	    so that a run that goes on too early repeats nothing.
//	S3  An event whose number leaves a gap ends the answer as broken: a client is
//	    told of a missing piece by a broken answer, never by an answer that looks
//	    whole.
package splicer

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// ErrGap says that an event is missing between the last one given out and the
// next one.
var ErrGap = errors.New("an event of the stream is missing")

// Splicer is the state of one answer. The zero value has given out nothing.
type Splicer struct {
	// LastID is the identifier of the last event given out; empty before the
	// first one.
	LastID string
	// Events counts the events given out.
	Events int
	// buffer holds the beginning of an event.
	buffer []byte
	// resumed says that the next event is the first one of a later run.
	resumed bool
}

var separator = []byte("\n\n")

// Resume begins a later run: what the earlier one left unfinished is forgotten
// (rule S1).
func (s *Splicer) Resume() {
	s.buffer = s.buffer[:0]
	s.resumed = s.Events > 0
}

// Pending reports whether an event has begun and not ended.
func (s *Splicer) Pending() bool { return len(s.buffer) > 0 }

// Partial returns the bytes of an event that has begun and not ended.
func (s *Splicer) Partial() []byte { return s.buffer }

// Feed takes bytes of the present run and appends the events that are whole now
// to out.
func (s *Splicer) Feed(out, data []byte) ([]byte, error) {
	s.buffer = append(s.buffer, data...)
	rest := s.buffer
	for {
		end := bytes.Index(rest, separator)
		if end < 0 {
			break
		}
		event := rest[:end+len(separator)]
		rest = rest[len(event):]
		keep, err := s.accept(event)
		if err != nil {
			return out, err
		}
		if keep {
			out = append(out, event...)
		}
	}
	s.buffer = append(s.buffer[:0], rest...)
	return out, nil
}

// accept decides on one whole event (rules S2 and S3).
func (s *Splicer) accept(event []byte) (bool, error) {
	id := eventID(event)
	if id == "" {
		return true, nil
	}
	number, numeric := parseID(id)
	last, known := parseID(s.LastID)
	if numeric && known {
		if number <= last {
			return false, nil
		}
		if s.resumed && number != last+1 {
			return false, ErrGap
		}
	}
	s.resumed = false
	s.LastID = id
	s.Events++
	return true, nil
}

func parseID(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

var idField = []byte("id:")

// identifier returns the value of the event's id field, or nothing.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
