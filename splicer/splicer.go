// Package splicer joins the server-sent events of several attempts of one call into one
// stream. It does no I/O: it takes bytes and returns whole events.
//
//	S1  Only whole events are returned. If a server breaks off within an event, the
//	    incomplete event is discarded, and the next attempt sends it whole.
//	S2  An event whose number is not above the last one returned is skipped, so that
//	    an attempt that resumes too early repeats nothing.
//	S3  An event whose number leaves a gap ends the answer as interrupted: a
//	    client learns of a missing piece by an interrupted answer, never by an
//	    answer that looks complete.
//	S4  An incomplete event of more than MaxEventBytes ends the attempt: a server
//	    in trouble may send bytes without end.
package splicer

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// MaxEventBytes is the size of the largest event.
const MaxEventBytes = 256 << 10

// ErrTooLarge reports that an event is larger than MaxEventBytes.
var ErrTooLarge = errors.New("an event of the stream has no end")

// ErrGap reports that events are missing between two attempts.
var ErrGap = errors.New("an event of the stream is missing")

// Splicer is the state of one stream. The zero value is ready for use.
type Splicer struct {
	// LastID is the identifier of the last event returned that had one; empty before the
	// first such event.
	LastID string
	// Events counts the returned events that have an identifier.
	Events int
	// buffer holds the beginning of an incomplete event.
	buffer []byte
	// resumed is set until the first event of a later attempt is accepted.
	resumed bool
}

var separator = []byte("\n\n")

// Resume begins an attempt and discards the incomplete event of the one before (rule S1).
func (s *Splicer) Resume() {
	s.buffer = s.buffer[:0]
	s.resumed = s.Events > 0
}

// Pending reports whether the buffer holds an incomplete event.
func (s *Splicer) Pending() bool { return len(s.buffer) > 0 }

// Partial returns the bytes of the incomplete event. They are valid until the next call
// of Feed or Resume.
func (s *Splicer) Partial() []byte { return s.buffer }

// Feed adds bytes of the current attempt and appends the events that they complete to out.
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
	if len(s.buffer) > MaxEventBytes {
		return out, ErrTooLarge
	}
	return out, nil
}

// accept reports whether a whole event is to be returned (rules S2 and S3).
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

// eventID returns the value of the event's id field; empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
