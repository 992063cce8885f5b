package procs

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// readyTime bounds the wait for a process or a site to be ready. It allows for a busy machine.
	readyTime = 30 * time.Second
	// pollTime is the interval at which an awaited condition is checked.
	pollTime = 10 * time.Millisecond
)

// Process is a program that can be started and restarted. It is safe for concurrent use.
type Process struct {
	name string
	path string
	args []string
	log  string

	mut sync.Mutex
	cmd *exec.Cmd
	// off is the size of the log file at the last start.
	off int64
	// end is closed when the process has ended; err is the result of its Wait.
	end chan struct{}
	err error
}

// newProcess prepares a process that logs below dir. Start starts it.
func newProcess(dir, name, prog string, args ...string) (prc *Process, err error) {
	path, err := program(prog)
	return &Process{
		name: name,
		path: path,
		args: args,
		log:  filepath.Join(dir, name+".log"),
	}, err
}

// NewProcess prepares a process of a program of this repository that logs below dir. The clean-up function ends it.
func NewProcess(dir, name, prog string, args ...string) (prc *Process, cleanup func(), err error) {
	prc, err = newProcess(dir, name, prog, args...)
	return prc, prc.close, err
}

// Name returns the name of the process.
func (prc *Process) Name() string { return prc.name }

// Start starts the process. It returns an error if the process is running.
func (prc *Process) Start() (err error) {
	defer func() { err = errors.Wrapf(err, "start %s", prc.name) }()
	prc.mut.Lock()
	defer prc.mut.Unlock()
	if prc.running() {
		return errors.New("already running")
	}
	out, err := os.OpenFile(prc.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	inf, err := out.Stat()
	if err != nil {
		return err
	}
	cmd := exec.Command(prc.path, prc.args...) //nolint:noctx // ended by Kill, Stop or the clean-up function
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = attributes()
	if err = cmd.Start(); err != nil {
		return err
	}
	end := make(chan struct{})
	prc.cmd, prc.off, prc.end, prc.err = cmd, inf.Size(), end, nil
	go func() { // ends with the process, which close waits for
		werr := cmd.Wait()
		prc.mut.Lock()
		prc.err = werr
		prc.mut.Unlock()
		close(end)
	}()
	return nil
}

// running reports whether the process was started and has not ended. The caller holds the mutex.
func (prc *Process) running() bool {
	if prc.cmd == nil {
		return false
	}
	select {
	case <-prc.end:
		return false
	default:
		return true
	}
}

// Running reports whether the process was started and has not ended. A frozen process counts as running.
func (prc *Process) Running() bool {
	prc.mut.Lock()
	defer prc.mut.Unlock()
	return prc.running()
}

// PeakMemory returns the largest resident size of the running process so far, in bytes.
func (prc *Process) PeakMemory() (size int64, err error) {
	defer func() { err = errors.Wrapf(err, "memory of %s", prc.name) }()
	prc.mut.Lock()
	defer prc.mut.Unlock()
	if !prc.running() {
		return 0, errors.New("not running")
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", prc.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for lin := range strings.Lines(string(data)) {
		if _, err = fmt.Sscanf(lin, "VmHWM: %d kB", &size); err == nil {
			return size << 10, nil
		}
	}
	return 0, errors.New("not in the status of the process")
}

// signal sends a signal to the process by its id. It returns an error if the process is not running.
func (prc *Process) signal(sig syscall.Signal) (err error) {
	prc.mut.Lock()
	defer prc.mut.Unlock()
	if !prc.running() {
		return errors.Errorf("%s is not running", prc.name)
	}
	return errors.Wrapf(prc.cmd.Process.Signal(sig), "signal %s", prc.name)
}

// Kill ends the process at once (SIGKILL) and waits for its end.
func (prc *Process) Kill() (err error) {
	if err = prc.signal(syscall.SIGKILL); err != nil {
		return err
	}
	_ = prc.Wait()
	return nil
}

// Terminate asks the process to stop (SIGTERM) and does not wait.
func (prc *Process) Terminate() (err error) { return prc.signal(syscall.SIGTERM) }

// Reload sends SIGHUP.
func (prc *Process) Reload() (err error) { return prc.signal(syscall.SIGHUP) }

// Freeze pauses the process (SIGSTOP) until Resume.
func (prc *Process) Freeze() (err error) { return prc.signal(syscall.SIGSTOP) }

// Resume continues a frozen process (SIGCONT).
func (prc *Process) Resume() (err error) { return prc.signal(syscall.SIGCONT) }

// Stop asks the process to stop (SIGTERM) and waits for its end. It returns an error if the process reports one.
func (prc *Process) Stop() (err error) {
	if err = prc.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return errors.Wrapf(prc.Wait(), "stop %s", prc.name)
}

// Wait waits for the end of a process that was started and returns its exit error.
func (prc *Process) Wait() (err error) {
	prc.mut.Lock()
	end := prc.end
	prc.mut.Unlock()
	if end == nil {
		return nil
	}
	<-end
	prc.mut.Lock()
	defer prc.mut.Unlock()
	return prc.err
}

// close ends the process if it is running.
func (prc *Process) close() { _ = prc.Kill() }

// Value waits until the output since the last start has name=value and returns the value.
func (prc *Process) Value(name string) (value string, err error) {
	pattern, err := regexp.Compile(`(?m)(?:^|\s)` + regexp.QuoteMeta(name) + `=(\S+)\s`)
	if err != nil {
		return "", err
	}
	for ends := time.Now().Add(readyTime); time.Now().Before(ends); time.Sleep(pollTime) {
		running := prc.Running() // read before the output, so that the last lines of an ended process are seen
		if found := pattern.FindSubmatch(prc.output()); found != nil {
			return string(found[1]), nil
		}
		if !running {
			return "", errors.Errorf("%s ended without %s=\n%s", prc.name, name, prc.Tail(20))
		}
	}
	return "", errors.Errorf("%s logged no %s= within %v\n%s", prc.name, name, readyTime, prc.Tail(20))
}

// output returns the output since the last start.
func (prc *Process) output() []byte {
	prc.mut.Lock()
	off := prc.off
	prc.mut.Unlock()
	data, err := os.ReadFile(prc.log)
	if err != nil || int64(len(data)) < off {
		return nil
	}
	return data[off:]
}

// Tail returns the last lines of the output of all starts.
func (prc *Process) Tail(lines int) string {
	data, err := os.ReadFile(prc.log)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(string(bytes.TrimSpace(data)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
