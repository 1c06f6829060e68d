package acceptor

import "bytes"

const (
	// bytesPerByte and bytesPerField are the memory that a parsed head takes for each of its bytes and
	// of its lines.
	bytesPerByte  = 4
	bytesPerField = 128
)

// head counts what has arrived of a request's head.
type head struct {
	bytes, lines int64
	// line is the length of the last line, which has not ended; blank says that it is empty but for
	// a carriage return.
	line  int64
	blank bool
	// complete says that the empty line at the end of the head has arrived.
	complete bool
	// behind is the cost of what arrived with the head and does not belong to it: the body, or the next
	// request's head.
	behind int64
}

// add counts further bytes.
func (h *head) add(p []byte) {
	for len(p) > 0 && !h.complete {
		n := bytes.IndexByte(p, '\n')
		part := p
		if n >= 0 {
			part = p[:n]
		}
		h.blank = len(part) == 0 && (h.line == 0 || h.blank) || len(part) == 1 && part[0] == '\r' && h.line == 0
		h.line += int64(len(part))
		h.bytes += int64(len(part))
		if n < 0 {
			return
		}
		h.bytes++
		h.complete = h.blank && h.lines > 0
		h.lines++
		h.line, h.blank = 0, false
		p = p[n+1:]
	}
	h.behind += cost(p)
}

// cost returns the memory that the head takes once it is parsed, and what arrived with it.
func (h *head) cost() int64 { return h.bytes*bytesPerByte + h.lines*bytesPerField + h.behind }

// cost returns the memory that bytes take if they belong to a head.
func cost(p []byte) int64 {
	return int64(len(p))*bytesPerByte + int64(bytes.Count(p, []byte{'\n'}))*bytesPerField
}
