package bundle_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/pkg/bundle"
)

// documentWithPlacement returns the test document with a placement added to
// the service that has the model manual-7b.
func documentWithPlacement(c *qt.C, placement string) string {
	document := readDocument(c)
	at := strings.Index(document, `"name": "manuals"`)
	c.Assert(at > 0, qt.IsTrue)
	return document[:at] + `"placement": ` + placement + ", " + document[at:]
}

func TestPlacementDefaults(t *testing.T) {
	c := qt.New(t)
	b := parse(c, documentWithPlacement(c, `{"models": [{"model": "manual-7b", "min_endpoints": 2}]}`))
	service, _ := b.Service("manuals")
	c.Assert(*service.Placement, qt.DeepEquals, bundle.Placement{
		WeightStoreOrdersPerMinute: 6, Models: []bundle.PlacedModel{{Model: "manual-7b", MinEndpoints: 2}},
	})
	c.Assert(b.Document().Services[0].Placement != service.Placement, qt.IsTrue)
	withoutPlacement, _ := parse(c, readDocument(c)).Service("manuals")
	c.Assert(withoutPlacement.Placement, qt.IsNil)
}

func TestPlacementFindings(t *testing.T) {
	for _, test := range []struct{ placement, want string }{
		{`{"models": []}`, "models: must have from 1 to 1000 entries, not 0"},
		{`{"models": [{"model": "x"}]}`, `models[0].model: the service has no model "x"`},
		{`{"models": [{"model": "manual-7b"}, {"model": "manual-7b"}]}`, "is already defined at "},
		{`{"models": [{"model": "manual-7b", "min_endpoints": 3, "max_endpoints": 2}]}`, "at least min_endpoints, 3, not 2"},
		{`{"models": [{"model": "manual-7b", "min_endpoints": -1}]}`, "min_endpoints: must be from 0 to 10000, not -1"},
		{`{"weight_store_orders_per_minute": 601, "models": [{"model": "manual-7b"}]}`, "must be from 1 to 600, not 601"},
		{`{"models": [{"model": "manual-7b", "adapters": [{"adapter": "a b"}]}]}`, "adapters[0].adapter: must be 1 to 128 printable"},
		{`{"models": [{"model": "manual-7b", "adapters": [{"adapter": "a"}, {"adapter": "a"}]}]}`, `the adapter "a" is already defined at`},
		{`{"model": "manual-7b"}`, "placement.model"},
	} {
		c := qt.New(t)
		_, err := bundle.Parse([]byte(documentWithPlacement(c, test.placement)))
		c.Check(err, qt.IsNotNil)
		c.Check(strings.Join(findings(c, err), "\n"), qt.Contains, test.want)
	}
}
