package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// columnGap is the number of spaces between two columns of a table.
const columnGap = 2

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable prints a header and rows with aligned columns.
func printTable(w io.Writer, header []string, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

// checkArgCount returns a usage error unless the command has exactly want
// arguments.
func checkArgCount(c *cli.Command, want int) error {
	if got := c.Args().Len(); got != want {
		return usagef("%s: want %d arguments, got %d, see \"oleanderramp help %s\"",
			c.FullName(), want, got, strings.TrimPrefix(c.FullName(), c.Root().Name+" "))
	}
	return nil
}

// yesNo formats a boolean for a table.
func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

// orDash returns s, or "-" if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
