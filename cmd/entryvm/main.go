// Command entryvm runs an entry VM on the users' platform, and has tools for its settings and logs.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"cardamompass/internal/conf/steer"
	"cardamompass/platform"
)

// commands defines the command line.
type commands struct {
	Serve       ServeCmd       `cmd:"" default:"withargs" help:"Run the entry VM."`
	Check       CheckCmd       `cmd:"" help:"Check a settings file in the platform's format, a steering file, or both."`
	CheckConfig CheckConfigCmd `cmd:"" help:"Check a configuration for the store before it is sent, and show what it changes."`
	Explain     ExplainCmd     `cmd:"" help:"Explain from logs why a request ended as it did."`
}

func main() {
	var cmd commands
	kctx := kong.Parse(&cmd,
		kong.Name("entryvm"),
		kong.Description("An entry VM of cardamompass on the users' platform."),
	)
	kctx.FatalIfErrorf(kctx.Run())
}

// CheckCmd checks a settings file and a steering file.
type CheckCmd struct {
	File     string `arg:"" optional:"" help:"Settings file." type:"path"`
	Steering string `help:"Steering file." type:"path"`
}

// Run prints that the files are valid, or returns the error.
func (cmd *CheckCmd) Run() (err error) {
	if cmd.File == "" && cmd.Steering == "" {
		return errors.New("no file to check; name a settings file, or a steering file with --steering")
	}
	if cmd.File != "" {
		set, err := platform.LoadSettings(cmd.File)
		if err != nil {
			return err
		}
		fmt.Printf("%s: valid; vm=%s region=%s failure-domain=%s\n", cmd.File, set.ID, set.Region, set.FailureDomain)
	}
	if cmd.Steering != "" {
		set, err := steer.Load(cmd.Steering)
		if err != nil {
			return err
		}
		fmt.Printf("%s: valid; hedge-limit-percent=%d\n", cmd.Steering, set.HedgeLimitPercent)
	}
	return nil
}

// settingsPath returns the path of the settings file: the value of the flag or else of the environment variable.
func settingsPath(flag, variable string) (path string) {
	if flag != "" {
		return flag
	}
	return os.Getenv(variable)
}
