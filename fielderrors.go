package knapweedpulley

// FieldErrors collects the validation errors of a set of values. Fields go by their
// JSON names.
type FieldErrors interface {
	// Addf records that the value of a field is not allowed; the text says what is.
	Addf(field string, value any, format string, args ...any)
	// Address requires a host and port.
	Address(field, value string)
	// Required requires a text that is not empty.
	Required(field, value string)
	// Positive requires a number above zero.
	Positive(field string, value float64)
	// In returns a list for the fields that are nested in the given one.
	In(format string, args ...any) FieldErrors
}

// Checker is a value that can be validated.
type Checker interface {
	// Check adds the validation errors of the value to f.
	Check(f FieldErrors)
}

// CheckerPointer is a pointer through which a T can be validated.
type CheckerPointer[T any] interface {
	*T
	Checker
}
