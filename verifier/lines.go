package verifier

// Lines looks at the lines of a head as it is read (rule V3). The zero value is at its begin.
type Lines struct {
	at linePlace
	// Continued says that a line continues the one before it.
	Continued bool
}

// linePlace is a place in the lines of a head.
type linePlace int

const (
	// atLine is before the first byte of a line, afterCR after a carriage return there.
	atLine linePlace = iota
	afterCR
	withinLine
	afterHead
)

// Scan looks at the next bytes. Those after the head are ignored.
func (l *Lines) Scan(p []byte) {
	for _, b := range p {
		switch {
		case l.at == afterHead:
			return
		case b == '\n' && l.at == withinLine:
			l.at = atLine
		case b == '\n':
			l.at = afterHead
		case b == '\r' && l.at == atLine:
			l.at = afterCR
		case l.at == atLine:
			l.Continued = l.Continued || b == ' ' || b == '\t'
			l.at = withinLine
		default:
			l.at = withinLine
		}
	}
}
