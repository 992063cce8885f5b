package procs

import "syscall"

// attributes makes the system end a process when this one ends, so that a killed test binary leaves no process running.
func attributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
}
