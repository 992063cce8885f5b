// Package member keeps the membership of the entry VMs and detects failures.
//
// Each VM probes one other member each ProbeInterval, in a shuffled order that visits every member once a round. A
// member that does not answer is probed through other members, then suspected, then declared dead. News about members
// travel on the probes and their answers, a bounded number in each message and a bounded number of times, so that the
// cost for a VM does not depend on the size of the fleet.
//
// # Model
//
// Machine is a pure state machine: Apply takes an event, which carries the time, and returns effects. It does no I/O and
// reads no clock. Agent is the driver: it turns messages and timers into events, carries out the effects, and
// implements cardamompass.Membership.
//
// # Guarantees
//
//   - The records of one member are totally ordered (Supersedes), and a VM only replaces a record by a later one. Views
//     that have received the same records are therefore equal, whatever the order of arrival.
//   - Within an incarnation, a member leaves a later state for an earlier one only by its own refutation. StateLeft is
//     final for the incarnation.
//   - A member that answers probes of any member that others reach learns that it is suspected or held dead, and
//     refutes it.
//   - A record of a dead member or one that left is kept for Retention after its end, counted over all VMs.
//   - The list of VMs of the platform only causes probes. It never removes a member.
//
// Views that differ for long, or with nothing left to send, are found by a digest on each probe and repaired by a full
// exchange.
package member
