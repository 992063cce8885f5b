// Command cardamompass runs and operates the traffic steering system.
package main

import (
	"io"

	"cardamompass"
)

// Env holds the process-wide dependencies of the commands.
type Env struct {
	// Out receives results, Err receives messages.
	Out io.Writer
	Err io.Writer
	// NewStore returns a client of the store at address (host:port). The returned function closes its connections.
	NewStore func(address string) (str cardamompass.Store, cleanup func(), err error)
}
