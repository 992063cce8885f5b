// Command standin runs the stand-ins of the platform and of targets as separate processes, for tests and the demo.
//
// It prints the address at which it listens as one line address=HOST:PORT and runs until it gets SIGINT or SIGTERM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"cardamompass/internal/stand/ctrl"
	"cardamompass/internal/stand/kvsrv"
	"cardamompass/internal/stand/target"
	"cardamompass/internal/stand/vmsrv"
)

type commands struct {
	Store  storeCmd  `cmd:"" help:"Run a stand-in of the key-value store."`
	VMs    vmsCmd    `cmd:"" name:"vms" help:"Run a stand-in of the VM list."`
	Target targetCmd `cmd:"" help:"Run a stand-in of a target."`
}

type storeCmd struct {
	Address         string `default:"127.0.0.1:0" help:"Address to listen at, by IP number."`
	WritesPerSecond int    `help:"Limit of writes per second, 0 for none."`
	ReadsPerSecond  int    `help:"Limit of reads per second, 0 for none."`
}

type vmsCmd struct {
	Address string        `default:"127.0.0.1:0" help:"Address to listen at, by IP number."`
	Lag     time.Duration `help:"Time after which an edit shows in the list."`
}

type targetCmd struct {
	Address        string        `default:"127.0.0.1:0" help:"Address to listen at, by IP number."`
	ControlAddress string        `help:"Further address for /control/ that survives crashes, printed as control=HOST:PORT."`
	Slots          int           `default:"6" help:"Requests that run at the same time."`
	Connections    int           `help:"Connections that are accepted, 0 for no limit."`
	ServiceTime    time.Duration `default:"5ms" help:"Service time of a request."`
	AnswerBytes    int64         `default:"64" help:"Size of an answer."`
	WhenFull       string        `default:"queue" enum:"queue,shed" help:"What to do when all slots are taken."`
	ColdFor        time.Duration `help:"Time after a start during which requests are slow."`
	ColdFactor     float64       `default:"4" help:"How many times slower requests are then."`
	RestartAfter   time.Duration `help:"Time after a crash at which the target starts again, 0 for never."`
}

func main() {
	var cmd commands
	ctx := kong.Parse(&cmd, kong.Description("Stand-ins of the platform and of targets."))
	ctx.FatalIfErrorf(ctx.Run())
}

// Run runs the store until a signal arrives.
func (cmd *storeCmd) Run() (err error) {
	srv, cleanup, err := kvsrv.New(kvsrv.Config{
		Faults: kvsrv.Faults{
			WritesPerSecond: cmd.WritesPerSecond,
			ReadsPerSecond:  cmd.ReadsPerSecond,
		},
	})
	if err != nil {
		return err
	}
	defer cleanup()
	adr, stop, err := ctrl.Serve(cmd.Address, srv)
	if err != nil {
		return err
	}
	defer stop()
	return wait("address", adr)
}

// Run runs the VM list until a signal arrives.
func (cmd *vmsCmd) Run() (err error) {
	srv, cleanup, err := vmsrv.New(vmsrv.Config{
		Lag: cmd.Lag,
	})
	if err != nil {
		return err
	}
	defer cleanup()
	adr, stop, err := ctrl.Serve(cmd.Address, srv)
	if err != nil {
		return err
	}
	defer stop()
	return wait("address", adr)
}

// Run runs the target until a signal arrives.
func (cmd *targetCmd) Run() (err error) {
	tgt, cleanup, err := target.New(target.Config{
		Address:     cmd.Address,
		Slots:       cmd.Slots,
		Connections: cmd.Connections,
		ColdFor:     cmd.ColdFor,
		ColdFactor:  cmd.ColdFactor,
		Behaviour: target.Behaviour{
			ServiceMS:   float64(cmd.ServiceTime) / float64(time.Millisecond),
			AnswerBytes: cmd.AnswerBytes,
			WhenFull:    target.WhenFull(cmd.WhenFull),
			RestartMS:   cmd.RestartAfter.Milliseconds(),
		},
	})
	if err != nil {
		return err
	}
	defer cleanup()
	if cmd.ControlAddress == "" {
		return wait("address", tgt.Address())
	}
	adr, stop, err := ctrl.Serve(cmd.ControlAddress, tgt.Control())
	if err != nil {
		return err
	}
	defer stop()
	return wait("address", tgt.Address(), "control", adr)
}

// wait prints pairs of a name and a value, one a line, and waits for a signal.
func wait(pairs ...string) (err error) {
	defer func() { err = errors.Wrap(err, "print address") }()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for idx := 0; idx+1 < len(pairs); idx += 2 {
		if _, err = fmt.Printf("%s=%s\n", pairs[idx], pairs[idx+1]); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}
