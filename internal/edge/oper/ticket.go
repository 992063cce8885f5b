package oper

import (
	"strconv"
	"strings"
	"time"

	"cardamompass"
)

const (
	// MaxNameBytes bounds the name of a VM in a ticket and the request id of an operation.
	MaxNameBytes = 128

	// ticketPast and ticketAhead bound the issue time of an accepted ticket against the home's own time.
	ticketPast  = 5 * time.Minute
	ticketAhead = 30 * time.Second
)

// Ticket binds operations to one incarnation of one entry VM, their home. Its text form is
// "VM/incarnation/issued-unix-ms". It is immutable and comparable.
type Ticket struct {
	// Home is the VM that alone may send the operation to a target.
	Home cardamompass.VMID
	// Incarnation is the run of the home's process.
	Incarnation cardamompass.Incarnation
	// IssuedMs is the time of issue in milliseconds since the Unix epoch, by the clock of the VM that issued it.
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

// run returns the home and incarnation of the ticket.
func (tkt Ticket) run() runID {
	return runID{
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

// runID identifies one run of a VM's process.
type runID struct {
	home        cardamompass.VMID
	incarnation cardamompass.Incarnation
}
