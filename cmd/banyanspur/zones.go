package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/platform"
)

type zonesCommand struct {
	Address string `long:"address" required:"true" description:"Operator address of any control host, IP:port"`
}

// Execute prints which zones are evacuated, since when and by which order.
func (c *zonesCommand) Execute([]string) error {
	list, err := platform.ReadEvacuations(context.Background(), c.Address)
	if err != nil {
		return err
	}
	return printEvacuations(os.Stdout, list)
}

func printEvacuations(w io.Writer, list []platform.Evacuation) error {
	if len(list) == 0 {
		fmt.Fprintln(w, "no zone is evacuated")
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tSINCE\tFOR\tORDER\tOPERATOR")
	for _, e := range list {
		age := (time.Duration(e.AgeMs) * time.Millisecond).Truncate(time.Second)
		fmt.Fprintf(table, "%s\t%s\t%v\t%s\t%s\n", e.Zone, e.Since.Format(time.RFC3339), age, e.Order, e.Operator)
	}
	return errors.Wrap(table.Flush(), "banyanspur: write to standard output")
}
