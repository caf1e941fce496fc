package knapweedpulley

// Set is a set of comparable values.
type Set[T comparable] map[T]struct{}

// NewSet returns a set of the given values.
func NewSet[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s[v] = struct{}{}
	}
	return s
}

// Add puts v into the set.
func (s Set[T]) Add(v T) {
	s[v] = struct{}{}
}

// Remove takes v out of the set.
func (s Set[T]) Remove(v T) {
	delete(s, v)
}

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}
