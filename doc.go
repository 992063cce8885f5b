// Package cardamompass holds the value types, typed errors and interfaces that the packages under internal share.
//
// cardamompass steers the traffic of callers to targets across regions. A caller queries any entry VM for the entry VMs
// to use (a look-up) and sends its requests to one of them; the entry VM forwards each request to a target. Operators
// control the system only by editing a catalogue, which is stored in the platform's key-value service.
//
// The package does no I/O. Values are immutable: a With method returns a changed copy.
package cardamompass
