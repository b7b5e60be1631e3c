package bundle_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/pkg/bundle"
	"oleanderramp/pkg/finding"
)

func readDocument(c *qt.C) string {
	data, err := os.ReadFile("testdata/bundle.json")
	c.Assert(err, qt.IsNil)
	return string(data)
}

func parse(c *qt.C, document string) *bundle.Bundle {
	b, err := bundle.Parse([]byte(document))
	c.Assert(err, qt.IsNil)
	return b
}

// findings returns the findings of the error as strings.
func findings(c *qt.C, err error) []string {
	var found *finding.Error
	c.Assert(errors.As(err, &found), qt.IsTrue, qt.Commentf("%v", err))
	return strings.Split(found.Error(), "\n")
}

func TestAccessors(t *testing.T) {
	c := qt.New(t)
	b := parse(c, readDocument(c))
	c.Assert(b.Parent(), qt.Equals, uint64(4))
	c.Assert(b.StalenessLimit(), qt.Equals, 10*time.Minute)
	c.Assert(b.WithVersion(5).Version(), qt.Equals, uint64(5))
	c.Assert(b.WithVersion(5).Digest(), qt.Equals, b.Digest())
	c.Assert(b.Version(), qt.Equals, uint64(0))

	account, found := b.AccountByKey(sha256.Sum256([]byte("fair-key")))
	c.Assert(found, qt.IsTrue)
	c.Assert(account.Name, qt.Equals, "fair")
	c.Assert(account.CanAccess("manuals"), qt.IsTrue)
	c.Assert(account.CanAccess("orders"), qt.IsTrue)
	_, found = b.AccountByKey(sha256.Sum256([]byte("other")))
	c.Assert(found, qt.IsFalse)
	service, found := b.ServiceForModel("manual-7b")
	c.Assert(found, qt.IsTrue)
	c.Assert(service.Name, qt.Equals, "manuals")
	c.Assert(b.Shares("manuals"), qt.DeepEquals, map[string]int{"fair": 10, "stand": 1})
	c.Assert(b.Shares("orders"), qt.DeepEquals, map[string]int{"fair": 10})
}

func TestDefaults(t *testing.T) {
	c := qt.New(t)
	b := parse(c, readDocument(c))
	service, _ := b.Service("manuals")
	answer, _ := service.Kind("")
	c.Assert(*answer, qt.DeepEquals, bundle.Kind{
		Name: "answer", Weight: 1, Idempotent: true, EstimatedCost: 256,
		QueueTimeoutMS: 30_000, ProgressTimeoutMS: 30_000, MaxAttempts: 3,
	})
	orders, _ := b.Service("orders")
	book, _ := orders.Kind("book")
	c.Assert(book.MaxAttempts, qt.Equals, 1)
	_, found := orders.Kind("none")
	c.Assert(found, qt.IsFalse)
}

func TestKindForRoute(t *testing.T) {
	c := qt.New(t)
	service, _ := parse(c, readDocument(c)).Service("orders")
	for _, test := range []struct{ method, path, want string }{
		{"POST", "/orders", "book"},
		{"POST", "/orders/7", "book"},
		{"GET", "/orders/7", "status"},
		{"PUT", "/orders/7", "change"},
		{"PUT", "/orders/drafts/1", "draft"},
		{"POST", "/ordersheet", ""},
		{"POST", "/", ""},
		{"PUT", "//orders/7", ""},
		{"PUT", "/orders/drafts/../7", ""},
		{"PUT", "orders/7", ""},
	} {
		c.Run(test.method+" "+test.path, func(c *qt.C) {
			kind, found := service.KindForRoute(test.method, test.path)
			c.Assert(found, qt.Equals, test.want != "")
			if found {
				c.Assert(kind.Name, qt.Equals, test.want)
			}
		})
	}
	first := bundle.Service{Kinds: []bundle.Kind{{Name: "any"}}}
	kind, found := first.KindForRoute("GET", "/x/")
	c.Assert(found, qt.IsTrue)
	c.Assert(kind.Name, qt.Equals, "any")
}

// Each test case replaces a part of the valid document.
func TestFindings(t *testing.T) {
	key := hex.EncodeToString(make([]byte, sha256.Size))
	for _, test := range []struct {
		name, old, changed string
		want               []string
	}{
		{"unknown field", `"share": 10`, `"share": 10, "shares": {"a": [1]}`, []string{`client_accounts[0].shares: unknown field`}},
		{"field in other case", `"share": 10`, `"Share": 10`, []string{
			`client_accounts[0].Share: unknown field`, `client_accounts[0].share: must be from 1 to 1000000, not 0`}},
		{"duplicate field", `"share": 10`, `"share": 10, "share": 11`, []string{`client_accounts[0].share: duplicate field`}},
		{"wrong type", `"share": 10`, `"share": "10"`, []string{`client_accounts[0].share: must be a number, not the string "10"`}},
		{"fraction", `"share": 10`, `"share": 1.5`, []string{`client_accounts[0].share: must be a whole number, not 1.5`}},
		{"too large", `"share": 10`, `"share": 1e400`, []string{`client_accounts[0].share: must be a whole number, not 1e400`}},
		{"out of range", `"share": 10`, `"share": 99999999999999999999`, []string{
			`client_accounts[0].share: the number 99999999999999999999 is out of range`}},
		{"null", `"share": 10`, `"share": null`, []string{`client_accounts[0].share: must be a number, not null`}},
		{"object for array", `"zones": ["maz-1"]`, `"zones": {"a": [{}]}`, []string{`regions[0].zones: must be an array, not an object`}},
		{"number for text", `"zones": ["maz-1"]`, `"zones": [1, true]`, []string{
			`regions[0].zones[0]: must be a string, not the number 1`, `regions[0].zones[1]: must be a string, not true`}},
		{"negative parent", `"parent": 4`, `"parent": -4`, []string{`parent: must be a whole number of at least 0, not -4`}},
		{"note", `"parent": 4`, `"parent": 4, "note": "a\u001b[2J"`, []string{`note: must be printable characters on one line`}},
		{"several findings", `"share": 10`, `"share": 0, "max_queued": -1`, []string{
			`client_accounts[0].share: must be from 1 to 1000000, not 0`, `client_accounts[0].max_queued: must be from 1 to 100000, not -1`}},
		{"duplicate account", `"name": "stand"`, `"name": "fair"`, []string{
			`client_accounts[1].name: the client account "fair" is already defined at client_accounts[0].name`}},
		{"bad name", `"name": "stand"`, `"name": "Stand 1"`, []string{
			`client_accounts[1].name: must be 1 to 63 lower-case letters, digits, '-', '_' or '.', with a letter or digit first, not "Stand 1"`}},
		{"bad key", `"key_sha256": []`, `"key_sha256": ["ABC"]`, []string{
			`client_accounts[1].key_sha256[0]: must be a SHA-256 of 64 lower-case hex digits`}},
		{"duplicate key", `"key_sha256": []`, `"key_sha256": ["` + key + `","` + key + `"]`, []string{
			`client_accounts[1].key_sha256[1]: the key "` + key + `" is already defined at client_accounts[1].key_sha256[0]`}},
		{"unknown service", `["manuals"]`, `["manual"]`, []string{`client_accounts[1].services[0]: unknown service "manual"`}},
		{"duplicate zone", `"zones": ["wlkp-1"]`, `"zones": ["maz-1"]`, []string{
			`regions[1].zones[0]: the availability zone "maz-1" is already defined at regions[0].zones[0]`}},
		{"negative weight", `"weight": 2`, `"weight": -2`, []string{`services[1].kinds[0].weight: must be more than 0 and at most 1e+06, not -2`}},
		{"retries of a non-idempotent kind", `"weight": 2`, `"max_attempts": 2`, []string{
			`services[1].kinds[0].max_attempts: must be 1, because the kind is not idempotent`}},
		{"duplicate route", `"GET"`, `"POST"`, []string{
			`services[1].kinds[1].routes[0]: the route "POST /orders" is already defined at services[1].kinds[0].routes[0]`}},
		{"bad route", `"GET", "path_prefix": "/orders"`, `"get", "path_prefix": "orders/../x"`, []string{
			`services[1].kinds[1].routes[0].method: must be an HTTP method in upper case or "*", not "get"`,
			`services[1].kinds[1].routes[0].path_prefix: must be a path that begins with / and has no empty, . or .. segments, not "orders/../x"`}},
		{"duplicate model", `"manual-7b"`, `"manual-7b", "manual-7b"`, []string{
			`services[0].models[1]: the model "manual-7b" is already defined at services[0].models[0]`}},
		{"no kinds", `"kinds": [{"name": "answer", "idempotent": true}]`, `"kinds": []`, []string{
			`services[0].kinds: must have from 1 to 100 entries, not 0`}},
		{"unknown protocol", `"openai"`, `"grpc"`, []string{`services[0].protocol: must be "openai" or "plain", not "grpc"`}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			document := readDocument(c)
			c.Assert(strings.Count(document, test.old) > 0, qt.IsTrue)
			_, err := bundle.Parse([]byte(strings.Replace(document, test.old, test.changed, 1)))
			c.Assert(findings(c, err), qt.DeepEquals, test.want)
		})
	}
}

func TestSyntaxFindings(t *testing.T) {
	c := qt.New(t)
	valid := readDocument(c)
	for _, test := range []struct{ document, want string }{
		{"", "the document is empty"},
		{"[]", "must be an object, not an array"},
		{"{\n \"version\" 1}", `not JSON at line 2, column 12: invalid character '1' after object key`},
		{`{"version": 1`, "not JSON: the document ends early \\(unexpected EOF\\)"},
		{"{\"note\": \"\xff\"}", "the document is not valid UTF-8"},
		{valid + "\n{}", "trailing data after the document at line 38, column 1"},
		{strings.Repeat(" ", bundle.MaxDocumentBytes+1), "the document has 8388609 bytes, more than the 8388608 allowed"},
	} {
		_, err := bundle.Parse([]byte(test.document))
		c.Check(err, qt.ErrorMatches, test.want)
	}
}

func TestCanonicalFormParsesToTheSameBundle(t *testing.T) {
	c := qt.New(t)
	b := parse(c, readDocument(c)).WithVersion(5)
	data, err := json.Marshal(b)
	c.Assert(err, qt.IsNil)
	again := parse(c, string(data))
	c.Assert(again.Version(), qt.Equals, uint64(5))
	c.Assert(again.Digest(), qt.Equals, b.Digest())
	c.Assert(again.Document(), qt.DeepEquals, b.Document())
}

func TestDocumentIsACopy(t *testing.T) {
	c := qt.New(t)
	b := parse(c, readDocument(c))
	document := b.Document()
	document.ClientAccounts[0].Services[0] = "changed"
	document.Services[0].Kinds[0].Name = "changed"
	document.Regions[0].Zones[0] = "changed"
	c.Assert(b.Document(), qt.DeepEquals, parse(c, readDocument(c)).Document())
}

func FuzzParse(f *testing.F) {
	data, err := os.ReadFile("testdata/bundle.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"regions":[{"zones":[[]]}],"services":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := bundle.Parse(data)
		if err != nil {
			return
		}
		again, err := bundle.New(b.Document())
		if err != nil || again.Digest() != b.Digest() {
			t.Fatalf("new bundle from the document of a valid bundle: error %v, or a different digest", err)
		}
	})
}
