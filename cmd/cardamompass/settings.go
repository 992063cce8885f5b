package main

import (
	"fmt"

	"cardamompass/internal/conf/config"
)

// SettingsCmd groups the commands on settings files.
type SettingsCmd struct {
	Check SettingsCheckCmd `cmd:"" help:"Check a settings file."`
}

// SettingsCheckCmd checks a settings file.
type SettingsCheckCmd struct {
	File string `arg:"" help:"Settings file, JSON with comments." type:"path"`
}

// Run reports that the file is valid, or returns all its problems.
func (cmd *SettingsCheckCmd) Run(env Env) (err error) {
	set, err := config.Load(cmd.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.Out, "%s: valid; vm-id=%s region=%s failure-domain=%s\n",
		cmd.File, set.VMID, set.Region, set.FailureDomain)
	return err
}
