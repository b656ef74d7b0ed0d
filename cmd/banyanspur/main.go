// Command banyanspur schedules agent programs between callers and targets.
//
// "banyanspur local" runs a whole fleet in one process, "banyanspur run" runs one
// host with the given settings file. "banyanspur --help" lists all commands.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/banyanspur/banyanspur/config"
)

// Exit codes of the process. exitFindings also reports incorrect usage.
const (
	exitFailure  = 1
	exitFindings = 2
)

type commands struct {
	Local    localCommand    `command:"local" description:"Run a whole fleet with stand-in targets in this process"`
	Run      runCommand      `command:"run" description:"Run one host with the given settings file"`
	Join     joinCommand     `command:"join" description:"Run one host of a fleet whose hosts discover each other"`
	Check    checkCommand    `command:"check" description:"Check settings files and questionnaires"`
	Generate generateCommand `command:"generate" description:"Generate the configuration from a questionnaire"`
	Key      keyCommand      `command:"key" description:"Generate a key and print it with its hash"`
	Trace    traceCommand    `command:"trace" description:"Print all log lines about one request, or how the requests of a program ended"`
	Zones    zonesCommand    `command:"zones" description:"Print which zones are evacuated, since when and by which order"`
	Admin    adminCommand    `command:"admin" description:"Administer a running fleet"`
}

func main() {
	var c commands
	c.Admin.bindSubcommands()
	parser := flags.NewParser(&c, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.Parse()
	os.Exit(reportError(err))
}

// reportError prints err, if it is not nil, and returns the exit code of the
// process.
func reportError(err error) int {
	if err == nil {
		return 0
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		return reportUsage(usage)
	}
	fmt.Fprintln(os.Stderr, err)
	var found config.Findings
	if errors.As(err, &found) {
		return exitFindings
	}
	return exitFailure
}

// reportUsage prints the help text or a usage error and returns the exit code.
func reportUsage(err *flags.Error) int {
	if err.Type == flags.ErrHelp {
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFindings
}
