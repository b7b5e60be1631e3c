package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

const traceHelp = `NAME
    oleanderramp trace - show the log lines of a request from several
    processes

SYNOPSIS
    oleanderramp trace [--json] [--around TIME] REQUEST-ID [FILE...]

DESCRIPTION
    Reads the log lines of any number of processes, from FILEs or standard
    input, and prints those of one request, oldest first. It also prints the
    events around that time of the endpoints that the request was sent to and
    of the hosts that logged it, such as an endpoint that crashed or left, a
    routing table that came into force, or a daemon that stopped.

    Text before the JSON of a line, such as a host name, is ignored. Lines
    that are not JSON are skipped.

FLAGS
    --around TIME
        How long before and after the request such events are shown.
        Default: 2s.

EXAMPLES
    oleanderramp trace 9c41d07be2a35f68 router-1.log router-2.log
    cat /var/log/oleanderramp/*.log | oleanderramp trace 9c41d07be2a35f68

EXIT CODES
    0   success
    1   a file can't be read, or no log line matches the request
    2   invalid usage
`

// defaultAround is the time before and after a request within which other
// events of its endpoints and hosts are shown.
const defaultAround = 2 * time.Second

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:        "trace",
		Description: traceHelp,
		Flags:       []cli.Flag{&cli.DurationFlag{Name: "around", Value: defaultAround}},
		Action:      trace,
	}
}

// logLine is one line of a daemon's log.
type logLine struct {
	Time    time.Time      `json:"timestamp"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

func (l *logLine) stringField(field string) string {
	text, _ := l.Fields[field].(string) // Values of other types are not identifiers.
	return text
}

func trace(_ context.Context, c *cli.Command) error {
	id := c.Args().First()
	if id == "" {
		return usagef("trace: want a request id, see \"oleanderramp help trace\"")
	}
	lines, err := readLines(c.Args().Tail())
	if err != nil {
		return err
	}
	selected := relatedLines(lines, id, c.Duration("around"))
	if len(selected) == 0 {
		return fmt.Errorf("no log line matches request %s", id)
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, selected)
	}
	for _, l := range selected {
		printLine(c.Root().Writer, l, selected[0].Time)
	}
	return nil
}

// readLines reads the files, or the standard input when there are none.
func readLines(files []string) ([]logLine, error) {
	if len(files) == 0 {
		return scanLines(os.Stdin)
	}
	var lines []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		scanned, err := scanLines(file)
		_ = file.Close() // The file was only read.
		if err != nil {
			return nil, fmt.Errorf("read log %s: %w", name, err)
		}
		lines = append(lines, scanned...)
	}
	return lines, nil
}

func scanLines(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		at := bytes.IndexByte(scanner.Bytes(), '{')
		if at < 0 {
			continue
		}
		var l logLine
		decoder := json.NewDecoder(bytes.NewReader(scanner.Bytes()[at:]))
		decoder.UseNumber() // Prints large numbers without rounding.
		if decoder.Decode(&l) == nil && !l.Time.IsZero() {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// relatedLines returns the lines of the request, and those within around of it
// that concern its endpoints or hosts and no other request, oldest first.
func relatedLines(lines []logLine, id string, around time.Duration) []logLine {
	var related []logLine
	endpoints, hosts := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.stringField("request") != id {
			continue
		}
		related = append(related, l)
		endpoints[l.stringField("endpoint")], hosts[l.stringField("host")] = true, true
	}
	if len(related) == 0 {
		return nil
	}
	delete(endpoints, "")
	delete(hosts, "")
	byTime := func(a, b logLine) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(related, byTime)
	first, last := related[0].Time.Add(-around), related[len(related)-1].Time.Add(around)
	for _, l := range lines {
		if l.stringField("request") != "" || l.Time.Before(first) || l.Time.After(last) {
			continue
		}
		if endpoints[l.stringField("endpoint")] || l.stringField("endpoint") == "" && hosts[l.stringField("host")] {
			related = append(related, l)
		}
	}
	slices.SortStableFunc(related, byTime)
	return related
}

// printLine prints the time of a line, its offset from first, the host, the
// message and the fields.
func printLine(w io.Writer, l logLine, first time.Time) {
	var fields []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != "host" && name != "request" && name != "event" {
			fields = append(fields, fmt.Sprintf("%s=%v", name, l.Fields[name]))
		}
	}
	fmt.Fprintf(w, "%s %+9.3fs %s %s [%v] %s\n", l.Time.UTC().Format("15:04:05.000"), l.Time.Sub(first).Seconds(),
		l.stringField("host"), l.Message, l.Fields["event"], strings.Join(fields, " "))
}
