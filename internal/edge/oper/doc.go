// Package oper runs non-idempotent operations at most once.
//
// A ticket binds an operation to one incarnation of one entry VM, its home. Only the home sends the operation to a
// target, and it records the operation before the first byte leaves. Every other VM passes the operation on to the
// home. A planned stop hands the records to a successor, which answers for them and never runs them.
//
// Guarantees: an operation runs at most once for each time that its outcome was not-run before. A not-run is true: the
// operation did not run, and no copy of the sendings that the not-run covers can run afterwards. For this, a record
// that ended as not-run is opened again only by a sending with a higher attempt count. A caller that does not count
// its sendings gets the recorded not-run again, and runs the operation under a new ticket.
//
// Time is taken from a monotonic reading since the start of the incarnation, so that a clock that is set, here or at
// the VM that issued a ticket, can't let an operation run twice.
package oper
