package oper

import (
	"strconv"
	"strings"
	"time"

	"cardamompass"
)

const (
	// MaxNameBytes bounds the id of a VM in a ticket and the request id of an operation.
	MaxNameBytes = 128

	// ticketMaxAge and ticketMaxAhead bound the issue time of an accepted ticket relative to the home's clock.
	ticketMaxAge   = 5 * time.Minute
	ticketMaxAhead = 30 * time.Second
)

// Ticket binds operations to one incarnation of one entry VM, their home. Its text form is
// "VM/incarnation/issued-unix-ms". It is immutable and comparable.
type Ticket struct {
	// Home is the only VM that may send the operation to a target.
	Home cardamompass.VMID
	// Incarnation is the incarnation of the home's process.
	Incarnation cardamompass.Incarnation
	// IssuedMs is the time of issue by the clock of the issuing VM, in milliseconds since the Unix epoch.
	IssuedMs int64
}

// Issue returns a ticket for home, issued at now.
func Issue(home cardamompass.VM, now time.Time) (tkt Ticket) {
	return Ticket{
		Home:        home.ID,
		Incarnation: home.Incarnation,
		IssuedMs:    now.UnixMilli(),
	}
}

// ParseTicket parses the text form. It accepts exactly what String returns for a valid ticket; anything else is an
// InvalidError.
func ParseTicket(text string) (tkt Ticket, err error) {
	fail := func(reason string) (Ticket, error) {
		return Ticket{}, &cardamompass.InvalidError{
			Field:  cardamompass.HeaderTicket,
			Reason: reason,
		}
	}
	home, rest, ok := strings.Cut(text, "/")
	incarnation, issued, more := strings.Cut(rest, "/")
	if !ok || !more {
		return fail("must have the form VM/incarnation/issued-unix-ms")
	}
	if !validName(home) {
		return fail("the VM must have 1 to 128 letters, digits, dots, underscores or hyphens")
	}
	inc, err := strconv.ParseUint(incarnation, 10, 64)
	if err != nil || inc == 0 || strconv.FormatUint(inc, 10) != incarnation {
		return fail("the incarnation must be a positive number without leading zeros")
	}
	ims, err := strconv.ParseInt(issued, 10, 64)
	if err != nil || ims <= 0 || strconv.FormatInt(ims, 10) != issued {
		return fail("the issue time must be a positive number of milliseconds without leading zeros")
	}
	return Ticket{
		Home:        cardamompass.VMID(home),
		Incarnation: cardamompass.Incarnation(inc),
		IssuedMs:    ims,
	}, nil
}

// String returns the text form.
func (tkt Ticket) String() string {
	return string(tkt.Home) + "/" + strconv.FormatUint(uint64(tkt.Incarnation), 10) + "/" +
		strconv.FormatInt(tkt.IssuedMs, 10)
}

// homeID returns the home and incarnation of the ticket.
func (tkt Ticket) homeID() homeID {
	return homeID{
		home:        tkt.Home,
		incarnation: tkt.Incarnation,
	}
}

func validName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for idx := range len(name) {
		chr := name[idx]
		letter := chr >= 'a' && chr <= 'z' || chr >= 'A' && chr <= 'Z'
		if !letter && (chr < '0' || chr > '9') && chr != '.' && chr != '_' && chr != '-' {
			return false
		}
	}
	return true
}

// Operation identifies a non-idempotent request: its ticket and the caller's request id.
type Operation struct {
	Ticket  Ticket
	Request cardamompass.RequestID
}

// homeID identifies one incarnation of a VM's process, the home of operations.
type homeID struct {
	home        cardamompass.VMID
	incarnation cardamompass.Incarnation
}
