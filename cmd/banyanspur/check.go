package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/types"
)

type checkCommand struct {
	Settings      []string `long:"settings" short:"s" description:"Settings file to check; may be repeated"`
	Questionnaire []string `long:"questionnaire" short:"q" description:"Questionnaire to check; may be repeated"`
}

// Execute checks all files and reports all findings together.
func (c *checkCommand) Execute([]string) error {
	var found config.Findings
	for _, file := range c.Settings {
		_, err := readSettings(file)
		if err := collectFindings(&found, err); err != nil {
			return err
		}
	}
	for _, file := range c.Questionnaire {
		_, err := readQuestionnaire(file)
		if err := collectFindings(&found, err); err != nil {
			return err
		}
	}
	if len(found) > 0 {
		return found
	}
	fmt.Println("no findings")
	return nil
}

// collectFindings appends err to found if it holds findings, and returns any
// other error.
func collectFindings(found *config.Findings, err error) error {
	var more config.Findings
	if errors.As(err, &more) {
		*found = append(*found, more...)
		return nil
	}
	return err
}

func readQuestionnaire(file string) (config.Fleet, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return config.Fleet{}, errors.Wrap(err, "banyanspur: read questionnaire")
	}
	return config.ParseQuestionnaire(file, b)
}

type generateCommand struct {
	Questionnaire string `long:"questionnaire" short:"q" required:"true" description:"Questionnaire (TOML)"`
}

// Execute prints the generated configuration as JSON.
func (c *generateCommand) Execute([]string) error {
	fleet, err := readQuestionnaire(c.Questionnaire)
	if err != nil {
		return err
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(fleet), "banyanspur: write to standard output")
}

type keyCommand struct{}

// Execute generates a random key and prints it with the hash to enter in the
// questionnaire.
func (c *keyCommand) Execute([]string) error {
	key := types.RandomID()
	fmt.Printf("key  %s\nhash %s\n", key, types.HashKey(key))
	return nil
}
