// Command cardamompass runs and operates the traffic steering system.
package main

import (
	"io"

	"cardamompass"
)

// Env is what the commands use of the process.
type Env struct {
	// Out receives results, Err receives remarks.
	Out io.Writer
	Err io.Writer
	// NewStore connects to the store at address (host:port). The returned function releases the connection.
	NewStore func(address string) (str cardamompass.Store, cleanup func(), err error)
}
