// Package procs starts a site as separate processes for tests: the stand-ins of the platform and of targets, and entry
// VMs, with fault proxies between them on request.
//
// The programs are built once for each test binary. Each process writes its output to a file of its own, from which its
// addresses are read. A process keeps its addresses when it is started again. Signals go to one process by its own id,
// and the clean-up function ends exactly the processes that the package started.
package procs

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/pkg/errors"
)

// programs holds the programs of this test binary.
var programs struct {
	once sync.Once
	dir  string
	err  error
}

// Main runs the tests and removes the programs that they built. TestMain calls it and exits with its result.
func Main(mmm *testing.M) (code int) {
	code = mmm.Run()
	if programs.dir != "" {
		_ = os.RemoveAll(programs.dir)
	}
	return code
}

// program returns the path of a built program of cmd.
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
