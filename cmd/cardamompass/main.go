package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"cardamompass"
	"cardamompass/internal/plat/kvhttp"
)

// commands defines the command line.
type commands struct {
	Serve     ServeCmd     `cmd:"" help:"Run the process of one entry VM."`
	Demo      DemoCmd      `cmd:"" default:"withargs" help:"Run a small complete site in this process."`
	Catalogue CatalogueCmd `cmd:"" help:"Read, check and edit the catalogue."`
	Settings  SettingsCmd  `cmd:"" help:"Check settings."`
	Lookup    LookupCmd    `cmd:"" help:"Look up which entry VMs to use."`
	Request   RequestCmd   `cmd:"" help:"Send a request as a caller does."`
	Dump      DumpCmd      `cmd:"" help:"Show the state of entry VMs."`
	Bench     BenchCmd     `cmd:"" help:"Measure the steering under load, against the naive baseline."`
	Rounds    RoundsCmd    `cmd:"" help:"Show the scores in the journal of the users' bench."`
	Latency   LatencyCmd   `cmd:"" help:"Show the latency by kind of request on days of the users' bench."`
	Version   VersionCmd   `cmd:"" help:"Show the program's version."`
}

func main() {
	var cmd commands
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	kctx := kong.Parse(&cmd,
		kong.Name("cardamompass"),
		kong.Description("Global traffic steering between callers and targets."),
		kong.Bind(Env{
			Out:      os.Stdout,
			Err:      os.Stderr,
			NewStore: newStore,
		}),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	kctx.FatalIfErrorf(kctx.Run())
}

func newStore(address string) (str cardamompass.Store, cleanup func(), err error) {
	return kvhttp.New(kvhttp.Config{
		Address: address,
	})
}

// VersionCmd shows the program's version.
type VersionCmd struct{}

// Run prints the program's version and the Go version it was built with, as far as they are known.
func (*VersionCmd) Run(env Env) (err error) {
	inf, ok := debug.ReadBuildInfo()
	if !ok {
		_, err = fmt.Fprintln(env.Out, "version=unknown")
		return err
	}
	_, err = fmt.Fprintf(env.Out, "version=%s go=%s\n", inf.Main.Version, inf.GoVersion)
	return err
}
