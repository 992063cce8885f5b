// Command entryvm runs an entry VM on the users' platform, and has tools for its settings and logs.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// commands defines the command line.
type commands struct {
	Serve   ServeCmd   `cmd:"" default:"withargs" help:"Run the entry VM."`
	Check   CheckCmd   `cmd:"" help:"Check a settings file in the platform's format."`
	Explain ExplainCmd `cmd:"" help:"Explain from logs why a request ended as it did."`
}

func main() {
	var cmd commands
	kctx := kong.Parse(&cmd,
		kong.Name("entryvm"),
		kong.Description("An entry VM of cardamompass on the users' platform."),
	)
	kctx.FatalIfErrorf(kctx.Run())
}

// CheckCmd checks a settings file.
type CheckCmd struct {
	File string `arg:"" help:"Settings file." type:"path"`
}

// settingsPath returns the path of the settings file: the value of the flag or else of the environment variable.
func settingsPath(flag, variable string) (path string) {
	if flag != "" {
		return flag
	}
	return os.Getenv(variable)
}
