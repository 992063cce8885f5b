//go:build !linux

package procs

import "syscall"

// attributes returns nil: only Linux ends a process with its parent.
func attributes() *syscall.SysProcAttr { return nil }
