// Command daisyhead runs an entry instance and speaks to running ones.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"daisyhead/internal/entry/caller"
	"daisyhead/internal/product/printer"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitNotFound    = 4
	exitUnavailable = 5
	exitUnknown     = 6
)

// version is set by the linker for releases.
var version = "development"

// globalOptions are taken by every command.
type globalOptions struct {
	Server    []string `long:"server" env:"DAISYHEAD_SERVER" env-delim:"," default:"127.0.0.1:7201" description:"API address of an instance; repeat it or separate by commas, they are tried in turn"`
	Token     string   `long:"token" env:"DAISYHEAD_TOKEN" description:"bearer token"`
	Authority string   `long:"authority" env:"DAISYHEAD_AUTHORITY" description:"file with the certificate authority of the servers"`
	Output    string   `long:"output" choice:"table" choice:"json" choice:"yaml" default:"table" description:"form of the output"`
}

var global globalOptions

// exitError carries an exit code through the flags parser.
type exitError struct {
	code int
	err  error
}

// Error returns the cause's text.
func (e exitError) Error() string { return e.err.Error() }

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	p := flags.NewNamedParser("daisyhead", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "A scheduler for multi-accelerator jobs under workspace guarantees.\n\n" +
		"Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused, 4 not found, 5 unavailable (nothing was done), 6 outcome unknown."
	if _, err := p.AddGroup("Common options", "", &global); err != nil {
		panic(err)
	}
	addCommands(p)
	_, err := p.ParseArgs(args)
	return report(err)
}

// report prints an error and returns the exit code for it.
func report(err error) int {
	if err == nil {
		return exitOK
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			fmt.Println(flagError.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, "daisyhead:", flagError.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "daisyhead:", err.Error())
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	switch caller.ErrorKindOf(err) {
	case caller.ErrorRefused:
		return exitRefused
	case caller.ErrorNotFound:
		return exitNotFound
	case caller.ErrorUnavailable:
		return exitUnavailable
	case caller.ErrorUnknown:
		return exitUnknown
	}
	return exitFailed
}

func output() printer.Printer {
	return printer.Printer{Out: os.Stdout, Format: printer.Format(global.Output)}
}

func client() (*caller.Client, error) {
	return caller.New(caller.Config{Servers: global.Server, Token: global.Token, AuthorityFile: global.Authority})
}
