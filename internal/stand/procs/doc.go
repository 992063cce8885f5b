// Package procs runs a site as separate processes for tests: the simulated platform and targets, and entry VMs,
// optionally with fault proxies between them.
//
// The programs are built once for each test binary. Each process writes its output to its own file, from which its
// addresses are read. A process keeps its addresses across restarts. Signals are sent to a single process by its id, and
// the clean-up function ends exactly the processes that the package started.
package procs

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/pkg/errors"
)

// programs is the directory of the programs that this test binary has built.
var programs struct {
	once sync.Once
	dir  string
	err  error
}

// Main runs the tests and removes the programs that they built. TestMain calls it and exits with the code that it returns.
func Main(mmm *testing.M) (code int) {
	code = mmm.Run()
	if programs.dir != "" {
		_ = os.RemoveAll(programs.dir)
	}
	return code
}

// program returns the path of a program below cmd, which it builds if necessary.
func program(name string) (path string, err error) {
	programs.once.Do(func() { programs.dir, programs.err = build() })
	return filepath.Join(programs.dir, name), programs.err
}

func build() (dir string, err error) {
	defer func() { err = errors.Wrap(err, "build programs") }()
	dir, err = os.MkdirTemp("", "cardamompass-programs-")
	if err != nil {
		return "", err
	}
	//nolint:noctx // bounded by the timeout of the test binary
	out, err := exec.Command("go", "build", "-o", dir+"/",
		"cardamompass/cmd/cardamompass", "cardamompass/cmd/standin", "cardamompass/cmd/entryvm").CombinedOutput()
	return dir, errors.WithMessage(err, string(out))
}
