// Package ticket defines the identifier of a job. A ticket names the host and the
// incarnation that minted it, and only that incarnation ever starts a task of the job.
// At-most-once execution therefore follows from the identifier alone, without clocks,
// leases or agreement between hosts.
package ticket

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Incarnation identifies one run of a daemon process. It is drawn at random at start,
// so that a new process on the same address is never taken for the old one.
type Incarnation uint64

// String renders the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// ParseIncarnation parses the form that String renders.
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

// ID is the text form of a ticket. It is comparable and used as the job's key.
type ID string

// Ticket is a parsed ticket.
type Ticket struct {
	Host        string        // name of the minting host
	Incarnation Incarnation   // incarnation of the minting process
	Window      time.Duration // how long after minting the first submission is accepted
	MaxDeadline time.Duration // longest deadline of the job
	Seq         uint64        // unique within the incarnation
}

// Lifetime is how long after minting the owner may still answer "complete".
func (t Ticket) Lifetime() time.Duration { return t.Window + t.MaxDeadline }

const (
	version    = "t1"
	fieldCount = 7
	// maxDuration bounds the durations that a ticket carries, so that sums cannot overflow.
	maxDuration = 24 * time.Hour
)

// ErrMalformed marks a text that is not a ticket.
var ErrMalformed = errors.New("malformed ticket")

// ID renders the ticket with a checksum that exposes truncated or mistyped tickets.
func (t Ticket) ID() ID {
	body := fmt.Sprintf("%s.%s.%s.%d.%d.%d", version, t.Host, t.Incarnation,
		t.Window.Milliseconds(), t.MaxDeadline.Milliseconds(), t.Seq)
	return ID(body + "." + checksum(body))
}

// Parse parses a ticket. Errors are marked with ErrMalformed.
func Parse(id ID) (Ticket, error) {
	text := string(id)
	fields := strings.Split(text, ".")
	if len(fields) != fieldCount || fields[0] != version {
		return Ticket{}, malformed("it does not have the form of a ticket")
	}
	body, sum := text[:strings.LastIndexByte(text, '.')], fields[fieldCount-1]
	if checksum(body) != sum {
		return Ticket{}, malformed("its checksum does not match")
	}
	inc, err := ParseIncarnation(fields[2])
	if err != nil {
		return Ticket{}, malformed("its incarnation is invalid")
	}
	window, ok1 := parseMillis(fields[3])
	deadline, ok2 := parseMillis(fields[4])
	seq, err := strconv.ParseUint(fields[5], 10, 64)
	if !ok1 || !ok2 || err != nil || !ValidHost(fields[1]) {
		return Ticket{}, malformed("a field is out of range")
	}
	return Ticket{Host: fields[1], Incarnation: inc, Window: window, MaxDeadline: deadline, Seq: seq}, nil
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

func malformed(reason string) error {
	return errors.Mark(errors.Newf("malformed ticket: %s", reason), ErrMalformed)
}

func checksum(body string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(body)))
}

func parseMillis(s string) (time.Duration, bool) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || n > maxDuration.Milliseconds() {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

// Mint makes the tickets of one incarnation. It is not safe for concurrent use.
type Mint struct {
	Host        string
	Incarnation Incarnation
	seq         uint64
}

// Next returns a new ticket with the given submission window and maximum deadline.
// Both are cut to whole milliseconds.
func (m *Mint) Next(window, maxDeadline time.Duration) Ticket {
	m.seq++
	return Ticket{
		Host:        m.Host,
		Incarnation: m.Incarnation,
		Window:      window.Truncate(time.Millisecond),
		MaxDeadline: maxDeadline.Truncate(time.Millisecond),
		Seq:         m.seq,
	}
}
