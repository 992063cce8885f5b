// Command standin runs stand-ins for the platform's services and for targets as separate processes, for tests and the demo.
//
// It prints its listen address as a line address=HOST:PORT and runs until SIGINT or SIGTERM.
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
	Store  storeCmd  `cmd:"" help:"Run a stand-in for the key-value store."`
	VMs    vmsCmd    `cmd:"" name:"vms" help:"Run a stand-in for the VM list."`
	Target targetCmd `cmd:"" help:"Run a stand-in for a target."`
}

type storeCmd struct {
	Address         string `default:"127.0.0.1:0" help:"IP address and port to listen on."`
	WritesPerSecond int    `help:"Limit of writes per second, 0 for no limit."`
	ReadsPerSecond  int    `help:"Limit of reads per second, 0 for no limit."`
}

type vmsCmd struct {
	Address string        `default:"127.0.0.1:0" help:"IP address and port to listen on."`
	Lag     time.Duration `help:"Delay after which a change appears in the list."`
}

type targetCmd struct {
	Address        string        `default:"127.0.0.1:0" help:"IP address and port to listen on."`
	ControlAddress string        `help:"Additional address for /control/ that stays available during crashes, printed as control=HOST:PORT."`
	Slots          int           `default:"6" help:"Number of requests that run concurrently."`
	Connections    int           `help:"Maximum number of connections, 0 for no limit."`
	ServiceTime    time.Duration `default:"5ms" help:"Service time of a request."`
	AnswerBytes    int64         `default:"64" help:"Size of a response body in bytes."`
	WhenFull       string        `default:"queue" enum:"queue,shed" help:"What to do when all slots are in use."`
	ColdFor        time.Duration `help:"Time after a start during which requests are slow."`
	ColdFactor     float64       `default:"4" help:"Factor by which requests are slower during that time."`
	RestartAfter   time.Duration `help:"Time after which a crashed target restarts, 0 for never."`
}

func main() {
	var cmd commands
	ctx := kong.Parse(&cmd, kong.Description("Stand-ins for the platform's services and for targets."))
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
			ServiceMS:     float64(cmd.ServiceTime) / float64(time.Millisecond),
			ResponseBytes: cmd.AnswerBytes,
			WhenFull:      target.WhenFull(cmd.WhenFull),
			RestartMS:     cmd.RestartAfter.Milliseconds(),
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

// wait prints pairs of a name and a value, one per line, and waits for SIGINT or SIGTERM.
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
