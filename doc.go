// Package cardamompass holds the value types, typed errors and interfaces that the packages under internal share.
//
// cardamompass steers callers across regions to the targets that should answer them. Callers ask any entry VM which
// entry VMs to use (a look-up), send their requests to one of these, and the entry VM carries each request to a
// target. Operators control the system only by editing a catalogue that lives in the platform's key-value service.
//
// The package contains no behaviour that does I/O. Values are immutable: a With method returns a changed copy.
package cardamompass
