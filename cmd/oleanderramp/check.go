package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"oleanderramp/internal/settings"
	"oleanderramp/pkg/bundle"
	"oleanderramp/pkg/client"
	"oleanderramp/pkg/finding"
)

const checkHelp = `NAME
    oleanderramp check - check settings and bundle files

SYNOPSIS
    oleanderramp check [--kind settings|site|bundle] [--json] FILE...

DESCRIPTION
    Checks each FILE on its own and prints all findings with their location in
    the JSON document. Unknown and duplicate fields are findings. For settings
    that are valid but not recommended, advice is printed, which does not count
    as a finding.

    No server is contacted and no other file is read: whether certificates or
    the data folder exist is not checked.

FLAGS
    --kind settings|site|bundle
        The kind of the files. Default: detected from their fields. A file with
        "client_accounts" or "services" is a bundle, and a file with "seeds" or
        "peer_ports" holds the settings of a site daemon.

EXAMPLES
    oleanderramp check examples/targoprint/bundle.json
    oleanderramp check examples/targoprint/settings/*.json

EXIT CODES
    0   no findings
    1   a file can't be read
    2   invalid usage
    3   findings
`

// documentKind is the kind of document in a file.
type documentKind string

const (
	kindSettings documentKind = "settings"
	kindSite     documentKind = "site"
	kindBundle   documentKind = "bundle"
)

// checkReport is the JSON representation of the findings in one file.
type checkReport struct {
	File     string           `json:"file"`
	Kind     documentKind     `json:"kind"`
	Findings []client.Finding `json:"findings"`
	Advice   []client.Finding `json:"advice"`
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Description: checkHelp,
		Flags:       []cli.Flag{&cli.StringFlag{Name: "kind"}},
		Action:      checkFiles,
	}
}

func checkFiles(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return usagef("check: want a file, see \"oleanderramp help check\"")
	}
	kind := documentKind(c.String("kind"))
	if kind != "" && kind != kindSettings && kind != kindSite && kind != kindBundle {
		return usagef("check: --kind must be %s, %s or %s, not %q", kindSettings, kindSite, kindBundle, kind)
	}
	var reports []checkReport
	var failed error
	for _, file := range c.Args().Slice() {
		document, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("read file: %w", err)
		}
		report, err := checkDocument(file, kind, document)
		if err != nil {
			failed = &reportedError{err: err}
		}
		reports = append(reports, report)
	}
	if err := printReports(c, reports); err != nil {
		return err
	}
	return failed
}

// checkDocument returns the report on a document, and a *finding.Error if it
// is invalid.
func checkDocument(file string, kind documentKind, document []byte) (checkReport, error) {
	if kind == "" {
		kind = detectKind(document)
	}
	var advice finding.List
	var err error
	switch kind {
	case kindBundle:
		_, err = bundle.Parse(document)
	case kindSite:
		_, err = settings.ParseSite(document)
	default:
		err = checkSettings(document, &advice)
	}
	report := checkReport{File: file, Kind: kind, Findings: []client.Finding{}, Advice: clientFindings(advice.All())}
	var findings *finding.Error
	if errors.As(err, &findings) {
		report.Findings = clientFindings(findings.Findings())
	}
	return report, err
}

func checkSettings(document []byte, advice *finding.List) error {
	s, err := settings.Parse(document)
	if err != nil {
		return err
	}
	s.Advise(advice)
	return nil
}

// detectKind detects the kind of a document from its top-level fields.
func detectKind(document []byte) documentKind {
	var fields struct {
		ClientAccounts json.RawMessage `json:"client_accounts"`
		Services       json.RawMessage `json:"services"`
		Seeds          json.RawMessage `json:"seeds"`
		PeerPorts      json.RawMessage `json:"peer_ports"`
	}
	// A document that isn't valid JSON is treated as settings, whose parser
	// reports the syntax error.
	_ = json.Unmarshal(document, &fields)
	if fields.ClientAccounts != nil || fields.Services != nil {
		return kindBundle
	}
	if fields.Seeds != nil || fields.PeerPorts != nil {
		return kindSite
	}
	return kindSettings
}

func clientFindings(found []finding.Finding) []client.Finding {
	list := make([]client.Finding, 0, len(found))
	for _, f := range found {
		list = append(list, client.Finding{Place: f.Place(), Message: f.Message()})
	}
	return list
}

func printReports(c *cli.Command, reports []checkReport) error {
	out := c.Root().Writer
	if c.Bool("json") {
		return printJSON(out, reports)
	}
	for _, r := range reports {
		if len(r.Findings) == 0 {
			fmt.Fprintf(out, "%s: valid %s\n", r.File, r.Kind)
		}
		printFindings(out, r.File, r.Findings)
		printFindings(out, r.File+": advice", r.Advice)
	}
	return nil
}

func printFindings(out io.Writer, prefix string, findings []client.Finding) {
	for _, f := range findings {
		if f.Place == "" {
			fmt.Fprintf(out, "%s: %s\n", prefix, f.Message)
			continue
		}
		fmt.Fprintf(out, "%s: %s: %s\n", prefix, f.Place, f.Message)
	}
}
