package verifier

// HeadScanner detects folded lines in the bytes of a head (rule V3), which a parsed head doesn't show. The
// zero value is ready to scan one head.
type HeadScanner struct {
	at linePlace
	// Folded says that a line began with white space, so that it continues the one before it.
	Folded bool
}

// linePlace is where in a head the next byte is.
type linePlace int

const (
	// atLine is the start of a line, afterCR behind a carriage return there.
	atLine linePlace = iota
	afterCR
	withinLine
	afterHead
)

// Scan scans the next bytes; those after the head are ignored.
func (h *HeadScanner) Scan(p []byte) {
	for _, b := range p {
		switch {
		case h.at == afterHead:
			return
		case b == '\n' && h.at == withinLine:
			h.at = atLine
		case b == '\n':
			h.at = afterHead
		case b == '\r' && h.at == atLine:
			h.at = afterCR
		case h.at == atLine:
			h.Folded = h.Folded || b == ' ' || b == '\t'
			h.at = withinLine
		default:
			h.at = withinLine
		}
	}
}
