// Command banyanspur schedules agent programs between callers and targets.
//
// "banyanspur local" brings up a whole fleet in one process, "banyanspur run"
// runs one host by its settings. "banyanspur --help" lists the rest.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/banyanspur/banyanspur/config"
)

// Exit codes.
const (
	exitFailure  = 1
	exitFindings = 2
)

type commands struct {
	Local    localCommand    `command:"local" description:"Run a whole fleet with stand-in targets in this process"`
	Run      runCommand      `command:"run" description:"Run one host by its settings"`
	Join     joinCommand     `command:"join" description:"Run one host of a fleet that finds itself"`
	Check    checkCommand    `command:"check" description:"Check settings files and questionnaires"`
	Generate generateCommand `command:"generate" description:"Generate the configuration from a questionnaire"`
	Key      keyCommand      `command:"key" description:"Make a key and print it with its hash"`
	Trace    traceCommand    `command:"trace" description:"Print what logs say of one request"`
	Admin    adminCommand    `command:"admin" description:"Administer a running fleet"`
}

func main() {
	var c commands
	c.Admin.share()
	parser := flags.NewParser(&c, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.Parse()
	os.Exit(exitCode(err))
}

// exitCode prints err and returns the code that belongs to it.
func exitCode(err error) int {
	if err == nil {
		return 0
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		return exitUsage(usage)
	}
	fmt.Fprintln(os.Stderr, err)
	var found config.Findings
	if errors.As(err, &found) {
		return exitFindings
	}
	return exitFailure
}

func exitUsage(err *flags.Error) int {
	if err.Type == flags.ErrHelp {
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFindings
}
