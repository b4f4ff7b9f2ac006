// Command daisyhead runs an entry instance and is the client of running
// instances.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"daisyhead/internal/entry/caller"
	"daisyhead/internal/product/printer"
)

// Exit codes, as documented in the help text.
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

// globalOptions are the options of every command.
type globalOptions struct {
	Server    []string `long:"server" env:"DAISYHEAD_SERVER" env-delim:"," default:"127.0.0.1:7201" description:"API address of an instance; may be repeated or comma-separated; addresses are tried in turn"`
	Token     string   `long:"token" env:"DAISYHEAD_TOKEN" description:"bearer token"`
	Authority string   `long:"authority" env:"DAISYHEAD_AUTHORITY" description:"certificate file of the authority that signed the servers' certificates"`
	Output    string   `long:"output" choice:"table" choice:"json" choice:"yaml" default:"table" description:"output format"`
}

var global globalOptions

// exitError is an error with an exit code. The flags parser passes it through.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e exitError) Error() string { return e.err.Error() }

func main() { os.Exit(run(os.Args[1:])) }

// run executes the command that the arguments name and returns its exit code.
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
