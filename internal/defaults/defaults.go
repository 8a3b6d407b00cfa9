// Package defaults sets options that have their zero value to a default.
package defaults

// SetIfZero sets the field to value if the field is zero.
func SetIfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
