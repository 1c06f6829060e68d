package router

const (
	// sketchCells is the number of counters in each of the two rows.
	sketchCells = 1 << 13
	// sketchWindow is the number of counted calls at which all counts are halved, so that a
	// share reflects recent calls.
	sketchWindow = 2048
	// sketchPrior is added to the number of calls, so that a node that has seen few calls does
	// not take a prefix for popular.
	sketchPrior = 64
)

// sketch counts prefixes in bounded memory. It overestimates where prefixes collide in both
// cells and never underestimates.
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
	// Conservative update: only the lower count is raised, which limits overestimation.
	if *a <= *b {
		*a++
	}
	if *b < *a {
		*b++
	}
}

// countCall counts a call and halves all counts when the total reaches sketchWindow.
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

// share returns the estimated fraction of the counted calls that have the prefix.
func (s *sketch) share(hash uint64) float64 {
	a, b := s.cells(hash)
	return float64(min(*a, *b)) / float64(s.total+sketchPrior)
}
