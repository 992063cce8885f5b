// Package oper runs non-idempotent operations at most once.
//
// A ticket binds an operation to one incarnation of one entry VM, its home. Only the home sends the operation to a
// target, and it records the operation before it sends the first byte. Every other VM forwards the operation to the
// home. A planned stop transfers the records to a successor, which answers from them and never runs them.
//
// Guarantees: an operation runs at most once, plus once more after each not-run outcome. A not-run outcome is certain:
// the operation did not run, and no delayed copy of the attempts that the outcome covers can run afterwards. Therefore
// a record that ended as not-run is reopened only by an attempt with a higher attempt count. A caller that does not
// count its attempts gets the recorded not-run again, and has to run the operation under a new ticket.
//
// Time is measured with the monotonic clock since the start of the incarnation, so that a change of the wall clock,
// here or at the VM that issued a ticket, can't cause an operation to run twice.
package oper
