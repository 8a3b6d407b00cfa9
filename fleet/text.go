package fleet

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// MaxNameBytes limits the names that come from outside: of workers, services, zones, racks and labels.
// The store has room for keys of 255 bytes.
const MaxNameBytes = 255

// CheckName returns what is wrong with a name from outside, or nil. Names travel between hosts in fields
// that hold valid UTF-8 only, and they appear in headers and logs. A replacement character means that
// some decoder could not read the name before.
func CheckName(s string) error {
	switch {
	case len(s) > MaxNameBytes:
		return errors.Newf("it has %d bytes, %d are possible", len(s), MaxNameBytes)
	case !utf8.ValidString(s) || strings.ContainsRune(s, utf8.RuneError):
		return errors.New("it is not text")
	case strings.ContainsFunc(s, unicode.IsControl):
		return errors.New("it holds control characters")
	}
	return nil
}

// Printable returns text of at most limit bytes for logs and for other hosts: bytes that are not valid
// UTF-8 and control characters are replaced, and the rest is cut off.
func Printable(s string, limit int) string {
	if len(s) > limit {
		s = s[:limit]
	}
	s = strings.ToValidUTF8(s, "?")
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return '?'
		}
		return r
	}, s)
}

// NameOf returns the name of a value of an enumeration, also of one that has no name.
func NameOf(names []string, value int) string {
	if value < 0 || value >= len(names) {
		return "unknown value " + strconv.Itoa(value)
	}
	return names[value]
}
