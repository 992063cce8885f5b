package main

import (
	"context"
	"fmt"
	"io"

	"cardamompass/internal/obs/logkv"
	"cardamompass/internal/stand/demo"
)

// DemoCmd runs a small complete site in one process.
type DemoCmd struct {
	Once bool   `help:"Send one request of each kind, edit the catalogue, drain a target, and exit."`
	Log  string `help:"Lowest level at which log lines of the entry VMs are shown." enum:"none,debug,info,warn,error" default:"none"`
}

// Run runs the site until a signal arrives. With Once it runs the fixed sequence of steps and returns.
func (cmd *DemoCmd) Run(ctx context.Context, env Env) (err error) {
	cfg := logkv.Config{
		Writer: env.Err,
		Level:  cmd.Log,
	}
	if cmd.Log == "none" {
		cfg.Writer, cfg.Level = io.Discard, "error"
	}
	log, flush, err := logkv.New(cfg)
	if err != nil {
		return err
	}
	defer flush()
	scfg, err := demo.Small(log.Logger)
	if err != nil {
		return err
	}
	sit, cleanup, err := demo.New(scfg)
	if err != nil {
		return err
	}
	defer cleanup()
	if cmd.Once {
		return sit.SmokeTest(env.Out)
	}
	if err := sit.WriteOverview(env.Out); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(env.Out, "\nStop with Ctrl-C."); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
