package knapweedpulley

// Permission is something that its holder may use until a term ends on the holder's own clock. Those
// who may take it over wait until that has passed.
type Permission interface {
	// Held reports whether the holder may use it now.
	Held() bool
}
