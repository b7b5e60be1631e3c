package routing_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/pkg/finding"
	"oleanderramp/pkg/routing"
)

func document() routing.Document {
	return routing.Document{
		Version:  7,
		Services: []routing.Service{{Name: "engines"}, {Name: "orders"}},
		Routes: []routing.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Timeout: time.Second, Targets: []routing.Target{{Service: "orders", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Timeout: time.Second, Targets: []routing.Target{{Service: "engines", Weight: 90}, {Service: "orders", Weight: 10}}},
			{Name: "other", Host: "b.example", Prefix: "/x/", Timeout: time.Second, Targets: []routing.Target{{Service: "engines", Weight: 1}}},
		},
		Accounts: []routing.Account{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}},
	}
}

func TestMatch(t *testing.T) {
	c := qt.New(t)
	table, err := routing.New(document())
	c.Assert(err, qt.IsNil)
	tests := []struct{ host, path, want string }{
		{"a.example", "/", "all"},
		{"a.example", "/x/y", "all"},
		{"a.example", "/x/y/", "deep"},
		{"A.example", "/x/y/z/q", "deep"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/", ""},
		{"a.example", "", ""},
	}
	for _, test := range tests {
		got := ""
		if route := table.Match(test.host, test.path); route != nil {
			got = route.Name
		}
		c.Check(got, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
	}
}

func TestAccount(t *testing.T) {
	c := qt.New(t)
	table, err := routing.New(document())
	c.Assert(err, qt.IsNil)
	got, ok := table.Account("k2")
	c.Check(ok, qt.IsTrue)
	c.Check(got, qt.Equals, "one")
	_, ok = table.Account("")
	c.Check(ok, qt.IsFalse)
}

func TestPickDistributesByWeight(t *testing.T) {
	c := qt.New(t)
	table, err := routing.New(document())
	c.Assert(err, qt.IsNil)
	route := table.Match("a.example", "/x/y/")
	got := map[string]int{}
	for random := range uint64(100) {
		got[route.Pick(random)]++
	}
	c.Check(got, qt.DeepEquals, map[string]int{"engines": 90, "orders": 10})
}

func TestNewRejectsInvalidDocument(t *testing.T) {
	tests := []struct {
		name   string
		change func(*routing.Document)
		want   []string
	}{
		{"no version", func(d *routing.Document) { d.Version = 0 }, []string{"version"}},
		{"unknown service", func(d *routing.Document) { d.Routes[0].Targets[0].Service = "none" }, []string{"routes[0].targets[0]"}},
		{"duplicate route", func(d *routing.Document) { d.Routes[2].Host, d.Routes[2].Prefix = "a.example", "/x/y/" }, []string{"routes[2]"}},
		{"no weight", func(d *routing.Document) { d.Routes[0].Targets[0].Weight = 0 }, []string{"routes[0].targets"}},
		{"negative weight", func(d *routing.Document) { d.Routes[1].Targets[1].Weight = -1 }, []string{"routes[1].targets[1].weight"}},
		{"no timeout", func(d *routing.Document) { d.Routes[1].Timeout = 0 }, []string{"routes[1].timeout"}},
		{"shared key", func(d *routing.Document) { d.Accounts[1].Keys[0] = "k1" }, []string{"accounts[1].keys[0]"}},
		{"prefix", func(d *routing.Document) { d.Routes[0].Prefix = "x" }, []string{"routes[0].prefix"}},
		{"several findings", func(d *routing.Document) {
			d.Routes[0].Timeout, d.Accounts[1].Keys[0] = 0, "k1"
		}, []string{"routes[0].timeout", "accounts[1].keys[0]"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			doc := document()
			test.change(&doc)
			_, err := routing.New(doc)
			var findings *finding.Error
			c.Assert(errors.As(err, &findings), qt.IsTrue)
			var got []string
			for _, f := range findings.Findings() {
				got = append(got, f.Place())
			}
			c.Check(got, qt.DeepEquals, test.want)
		})
	}
}
