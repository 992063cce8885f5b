package procs

import "syscall"

// attributes ends a process with this one, so that a test binary that is killed leaves no process behind.
func attributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
}
