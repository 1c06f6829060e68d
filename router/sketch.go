package router

const (
	sketchCells = 1 << 13
	// sketchWindow is the number of counted calls after which all counts are
	// halved, so that a share reflects the last thousand calls or two.
	sketchWindow = 2048
	// sketchPrior is added to the number of calls: a node that has seen few
	// calls takes no prefix to be popular.
	sketchPrior = 64
)

// sketch counts prefixes in bounded memory; it can count too high where two
// prefixes share both cells, and never too low.
type sketch struct {
	first, second [sketchCells]uint16
	total         int
}

func (s *sketch) cells(hash uint64) (*uint16, *uint16) {
	return &s.first[hash%sketchCells], &s.second[hash>>40%sketchCells]
}

// add counts one call with the prefix.
func (s *sketch) add(hash uint64) {
	a, b := s.cells(hash)
	// Only the lower cell is known to be too low.
	if *a <= *b {
		*a++
	}
	if *b < *a {
		*b++
	}
}

// call counts a call and forgets slowly.
func (s *sketch) countCall() {
	s.total++
	if s.total < sketchWindow {
		return
	}
	s.total /= 2
	for i := range s.first {
		s.first[i] /= 2
		s.second[i] /= 2
	}
}

// share returns the part of the counted calls that have the prefix.
func (s *sketch) share(hash uint64) float64 {
	a, b := s.cells(hash)
	return float64(min(*a, *b)) / float64(s.total+sketchPrior)
}
