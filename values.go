package garnetworks

import (
	"cmp"
	"maps"
	"slices"
)

// Set is an unordered collection of distinct values.
type Set[T comparable] map[T]struct{}

// NewSet returns a set of values.
func NewSet[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s[v] = struct{}{}
	}
	return s
}

// Add adds v to the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Remove removes v from the set.
func (s Set[T]) Remove(v T) { delete(s, v) }

// Has reports whether v is in the set. The set may be nil.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values of a set in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T { return slices.Sorted(maps.Keys(s)) }

// Option is an optional value. The zero Option is absent.
type Option[T any] struct {
	// Value is meaningful only if Present.
	Value T
	// Present says whether the option has a value.
	Present bool
}

// Some returns a present option.
func Some[T any](v T) Option[T] { return Option[T]{Value: v, Present: true} }

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.Value, o.Present }

// Or returns the value if it is present and other if it is not.
func (o Option[T]) Or(other T) T {
	if o.Present {
		return o.Value
	}
	return other
}

// SameSlice reports whether a and b are the same part of the same array.
func SameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
