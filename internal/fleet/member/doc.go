// Package member maintains the membership of the entry VMs and detects failures with a gossip protocol in the style of SWIM.
//
// Each VM probes one other member every ProbeInterval, in a shuffled order that includes every member once per round. A
// member that does not respond is probed indirectly through other members, then suspected, then declared dead. Updates
// about members are piggybacked on probes and their replies, a bounded number in each message and a bounded number of
// times, so that the load on a VM does not depend on the size of the fleet.
//
// # Model
//
// Machine is a pure state machine: Apply takes an event, which carries the time, and returns effects. It does no I/O and
// reads no clock. Agent is the driver: it converts messages and timers to events, executes the effects, and implements
// cardamompass.Membership.
//
// # Guarantees
//
//   - The records of one member are totally ordered (Supersedes), and a VM replaces a record only by a later one. VMs
//     that have received the same records therefore have equal views, regardless of the order of arrival.
//   - Within an incarnation, a member returns from a later state to an earlier one only by its own refutation. StateLeft
//     is final for the incarnation.
//   - A member that responds to the probes of any member that the others can reach is informed that it is suspected or
//     declared dead, and refutes that.
//   - The record of a member that died or left is kept for Retention after that event. Records carry their age, so that
//     passing them on does not prolong this time.
//   - The platform's list of VMs only triggers probes. It never removes a member.
//
// Each probe carries a digest of the sender's view. Views that differ for a long time, or while no updates are queued,
// are reconciled by a full exchange.
package member
