package connector

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Limits of one server-sent event.
const (
	eventBufferBytes = 4 << 10
	maxEventBytes    = 256 << 10
)

var errEventTooLarge = errors.New("server-sent event too large")

// eventReader reads server-sent events whose lines end with LF or CRLF. The fields of an
// event are valid until the next call of next.
type eventReader struct {
	reader *bufio.Reader
	id     []byte
	event  []byte
	data   []byte
	// line holds a line longer than the reader's buffer.
	line []byte
}

// reset discards all state and continues with r.
func (e *eventReader) reset(r io.Reader) {
	if e.reader == nil {
		e.reader = bufio.NewReaderSize(r, eventBufferBytes)
	} else {
		e.reader.Reset(r)
	}
	e.clear()
}

func (e *eventReader) clear() {
	e.id, e.event, e.data = e.id[:0], e.event[:0], e.data[:0]
}

// next reads the next event that has data. It returns io.EOF at the end of the input, and
// drops an incomplete last event.
func (e *eventReader) next() error {
	e.clear()
	hasData := false
	for {
		line, err := e.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			if hasData {
				return nil
			}
			e.clear()
			continue
		}
		if err := e.field(line, &hasData); err != nil {
			return err
		}
	}
}

// field parses one line of an event; comments and unknown fields are ignored.
func (e *eventReader) field(line []byte, hasData *bool) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		e.id = append(e.id[:0], value...)
	case "event":
		e.event = append(e.event[:0], value...)
	case "data":
		if *hasData {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		*hasData = true
	}
	if len(e.data) > maxEventBytes {
		return errEventTooLarge
	}
	return nil
}

// readLine returns the next line without its line end, or an error if the last line has
// no line end.
func (e *eventReader) readLine() ([]byte, error) {
	line, err := e.reader.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = e.readLongLine(line)
	}
	if err != nil {
		return nil, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte{'\r'}), nil
}

func (e *eventReader) readLongLine(start []byte) ([]byte, error) {
	e.line = append(e.line[:0], start...)
	for {
		part, err := e.reader.ReadSlice('\n')
		e.line = append(e.line, part...)
		if err != bufio.ErrBufferFull {
			return e.line, err
		}
		if len(e.line) > maxEventBytes {
			return nil, errEventTooLarge
		}
	}
}
