package main

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/conf/config"
	"cardamompass/internal/edge/entry"
	"cardamompass/internal/obs/logkv"
	"cardamompass/internal/plat/vmlist"
)

// bootFile contains an id that changes at each start of the operating system.
const bootFile = "/proc/sys/kernel/random/boot_id"

// ServeCmd runs an entry VM.
type ServeCmd struct {
	Settings    string        `help:"Settings file, JSON with comments." required:"" type:"path"`
	StopTimeout time.Duration `help:"Time allowed for a planned stop (SIGINT or SIGTERM)." default:"2m"`
}

// Run serves until SIGINT or SIGTERM requests a planned stop, and returns when the stop is complete.
func (cmd *ServeCmd) Run(ctx context.Context, env Env) (err error) {
	set, err := config.Load(cmd.Settings)
	if err != nil {
		return err
	}
	log, flush, err := logkv.New(logkv.Config{
		Writer:  env.Out,
		Level:   set.LogLevel.String(),
		Process: string(set.VMID),
	})
	if err != nil {
		return err
	}
	defer flush()
	// net/http writes to the standard logger when a target sends unsolicited bytes on an idle connection.
	defer zap.RedirectStdLog(log.Logger)()
	prc, cleanup, err := newProcess(set, env, log)
	if err != nil {
		return err
	}
	defer cleanup()
	select {
	case <-ctx.Done():
		sctx, cancel := context.WithTimeout(context.Background(), cmd.StopTimeout)
		defer cancel()
		return prc.Stop(sctx)
	case <-prc.Superseded():
		return errors.New("superseded by a later process of the same VM")
	}
}

func newProcess(set config.Settings, env Env, log *logkv.Logger) (prc *entry.Process, cleanup func(), err error) {
	sto, stopStore, err := env.NewStore(set.StoreAddress)
	if err != nil {
		return nil, nil, err
	}
	cleanups := []func(){stopStore}
	cleanup = func() {
		for num := len(cleanups) - 1; num >= 0; num-- {
			cleanups[num]()
		}
	}
	cfg := entry.Config{
		Settings: set,
		Store:    sto,
		Clock:    cardamompass.SystemClock{},
		Log:      log.Logger,
		BootID:   bootID(),

		LinesDropped: log.Dropped,
	}
	if set.VMListAddress != "" {
		lst, stopList, err := vmlist.New(vmlist.Config{
			Address: set.VMListAddress,
		})
		if err != nil {
			cleanup()
			return nil, nil, err
		}
		cleanups = append(cleanups, stopList)
		cfg.VMs = lst
	}
	prc, stop, err := entry.New(cfg)
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	cleanups = append(cleanups, stop)
	return prc, cleanup, nil
}

// bootID returns the boot id of the operating system, or an empty string if there is none.
func bootID() string {
	data, err := os.ReadFile(bootFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(data))
}
