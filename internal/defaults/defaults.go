// Package defaults fills in options that were left at their zero value.
package defaults

// Set gives the field the value if it is zero.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
