// Package ticket defines the identifier of a job, and renders and parses it. A ticket names the host and the
// incarnation that minted it, and only that incarnation ever starts a task of the job. At-most-once
// execution therefore follows from the identifier alone, without clocks, leases or agreement between hosts.
// The packages that use tickets enforce this rule and the time limits that a ticket carries.
package ticket

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Incarnation identifies one run of a daemon process. It is a random number chosen at start, so that a new
// process on the same address is not taken for the old one.
type Incarnation uint64

// String renders the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// ParseIncarnation parses the form that String renders. It returns an error for any other text.
func ParseIncarnation(s string) (Incarnation, error) {
	if len(s) != 16 {
		return 0, errors.Newf("incarnation %q does not have 16 digits", s)
	}
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "incarnation %q", s)
	}
	return Incarnation(n), nil
}

// ID is the text form of a ticket. It identifies the job and serves as a map key.
type ID string

// Ticket is a parsed ticket.
type Ticket struct {
	Host        string        // name of the host that minted the ticket
	Incarnation Incarnation   // incarnation of the process that minted it
	Window      time.Duration // how long after minting the first submission is accepted
	MaxDeadline time.Duration // longest deadline that the job may ask for
	Seq         uint64        // unique within the incarnation
}

// Lifetime is how long after minting the owner of the ticket may still report the job as complete.
func (t Ticket) Lifetime() time.Duration { return t.Window + t.MaxDeadline }

const (
	formatVersion = "t1"
	fieldCount    = 7
	// maxFieldDuration limits each duration in a ticket, so that their sum cannot overflow.
	maxFieldDuration = 24 * time.Hour
)

// ErrMalformed marks the error for a text that is not a valid ticket.
var ErrMalformed = errors.New("malformed ticket")

// ID renders the ticket. It ends with a checksum, which exposes truncated or mistyped tickets.
func (t Ticket) ID() ID {
	body := fmt.Sprintf("%s.%s.%s.%d.%d.%d", formatVersion, t.Host, t.Incarnation,
		t.Window.Milliseconds(), t.MaxDeadline.Milliseconds(), t.Seq)
	return ID(body + "." + checksum(body))
}

// Parse parses a ticket. Errors are marked with ErrMalformed.
func Parse(id ID) (Ticket, error) {
	text := string(id)
	fields := strings.Split(text, ".")
	if len(fields) != fieldCount || fields[0] != formatVersion {
		return Ticket{}, malformedError("it does not have the form of a ticket")
	}
	body, sum := text[:strings.LastIndexByte(text, '.')], fields[fieldCount-1]
	if checksum(body) != sum {
		return Ticket{}, malformedError("its checksum does not match")
	}
	incarnation, err := ParseIncarnation(fields[2])
	if err != nil {
		return Ticket{}, malformedError("its incarnation is invalid")
	}
	window, windowOK := parseMillis(fields[3])
	deadline, deadlineOK := parseMillis(fields[4])
	seq, err := strconv.ParseUint(fields[5], 10, 64)
	if !windowOK || !deadlineOK || err != nil || !ValidHost(fields[1]) {
		return Ticket{}, malformedError("a field is out of range")
	}
	return Ticket{Host: fields[1], Incarnation: incarnation, Window: window, MaxDeadline: deadline, Seq: seq}, nil
}

// ValidHost reports whether name can be a host name within a ticket: lower-case
// letters, digits and hyphens, 1 to 63 of them.
func ValidHost(name string) bool {
	if len(name) == 0 || len(name) > 63 {
		return false
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

// malformedError returns an error marked with ErrMalformed.
func malformedError(reason string) error {
	return errors.Mark(errors.Newf("malformed ticket: %s", reason), ErrMalformed)
}

// checksum returns 32 bits of the xxhash64 of body as 8 hexadecimal digits.
func checksum(body string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(body)))
}

// parseMillis parses a number of milliseconds from 0 to maxFieldDuration.
func parseMillis(s string) (time.Duration, bool) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || n > maxFieldDuration.Milliseconds() {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

// Minter creates the tickets of one incarnation. It is not safe for concurrent use.
type Minter struct {
	Host        string
	Incarnation Incarnation
	seq         uint64 // sequence number of the last ticket
}

// Next returns a new ticket with the given submission window and maximum deadline.
// Both are truncated to whole milliseconds.
func (m *Minter) Next(window, maxDeadline time.Duration) Ticket {
	m.seq++
	return Ticket{
		Host:        m.Host,
		Incarnation: m.Incarnation,
		Window:      window.Truncate(time.Millisecond),
		MaxDeadline: maxDeadline.Truncate(time.Millisecond),
		Seq:         m.seq,
	}
}
