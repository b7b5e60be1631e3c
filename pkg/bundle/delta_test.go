package bundle_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oleanderramp/pkg/bundle"
)

// drawDocument generates a valid document from a small set of names, so that
// two generated documents usually have parts in common.
func drawDocument(t *rapid.T) bundle.Document {
	document := bundle.Document{
		Version:               rapid.Uint64Range(0, 9).Draw(t, "version"),
		Parent:                rapid.Uint64Range(0, 9).Draw(t, "parent"),
		Note:                  rapid.StringMatching(`[a-z <&]{0,5}`).Draw(t, "note"),
		StalenessLimitSeconds: rapid.IntRange(1, 3).Draw(t, "staleness"),
	}
	numbers := rapid.Permutation([]int{0, 1, 2, 3})
	count := func(least int, label string) int { return rapid.IntRange(least, 4).Draw(t, label) }
	for _, i := range numbers.Draw(t, "regions")[:count(1, "region count")] {
		zones := []string{fmt.Sprintf("z%d-%d", i, rapid.IntRange(0, 1).Draw(t, "zone")), fmt.Sprintf("y%d", i)}
		document.Regions = append(document.Regions, bundle.Region{Name: fmt.Sprint("region-", i), Zones: zones})
	}
	var services []string
	for _, i := range numbers.Draw(t, "services")[:count(1, "service count")] {
		service := bundle.Service{Name: fmt.Sprint("service-", i), Protocol: bundle.ProtocolPlain}
		for _, j := range numbers.Draw(t, "kinds")[:count(1, "kind count")] {
			kind := bundle.Kind{Name: fmt.Sprint("kind-", j), Idempotent: rapid.Bool().Draw(t, "idempotent")}
			kind.Weight = rapid.Float64Range(0, 100).Draw(t, "weight")
			if rapid.Bool().Draw(t, "has route") {
				kind.Routes = []bundle.Route{{Method: "GET", PathPrefix: fmt.Sprint("/", j)}}
			}
			service.Kinds = append(service.Kinds, kind)
		}
		document.Services = append(document.Services, service)
		services = append(services, service.Name)
	}
	for _, i := range numbers.Draw(t, "accounts")[:count(0, "account count")] {
		account := bundle.ClientAccount{Name: fmt.Sprint("account-", i), Share: rapid.IntRange(1, 2).Draw(t, "share")}
		account.Services = services[:rapid.IntRange(0, len(services)).Draw(t, "reach")]
		for k := range rapid.IntRange(0, 2).Draw(t, "keys") {
			hash := sha256.Sum256([]byte{byte(i), byte(k)})
			account.KeySHA256 = append(account.KeySHA256, hex.EncodeToString(hash[:]))
		}
		document.ClientAccounts = append(document.ClientAccounts, account)
	}
	return document
}

func drawBundle(t *rapid.T) *bundle.Bundle {
	b, err := bundle.New(drawDocument(t))
	if err != nil {
		t.Fatalf("draw a valid document: %v", err)
	}
	return b
}

func TestApplyDeltaYieldsTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to, other := drawBundle(t), drawBundle(t), drawBundle(t)
		delta, err := bundle.MakeDelta(from, to)
		if err != nil {
			t.Fatal(err)
		}
		got, err := from.ApplyDelta(delta)
		if err != nil {
			t.Fatal(err)
		}
		if got.Version() != to.Version() || got.Digest() != to.Digest() || len(bundle.Diff(got, to)) != 0 {
			t.Fatalf("got %+v, want %+v", got.Document(), to.Document())
		}
		sameBase := other.Version() == from.Version() && other.Digest() == from.Digest()
		if _, err = other.ApplyDelta(delta); (err == nil) != sameBase {
			t.Fatalf("applied to another bundle: %v", err)
		}
	})
}

func TestDiffIsEmptyOnlyForEqualContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawBundle(t), drawBundle(t)
		document := to.Document()
		document.Parent = from.Parent()
		aligned, err := bundle.New(document)
		if err != nil {
			t.Fatal(err)
		}
		equal := aligned.Digest() == from.Digest()
		if changes := bundle.Diff(from, to); (len(changes) == 0) != equal {
			t.Fatalf("equal: %v, changes: %v", equal, changes)
		}
	})
}

func TestDigestIgnoresOrderAndVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawBundle(t)
		document := b.Document()
		document.Version++
		document.ClientAccounts = rapid.Permutation(document.ClientAccounts).Draw(t, "accounts")
		document.Services = rapid.Permutation(document.Services).Draw(t, "services")
		document.Regions = rapid.Permutation(document.Regions).Draw(t, "regions")
		shuffled, err := bundle.New(document)
		if err != nil || shuffled.Digest() != b.Digest() {
			t.Fatalf("got digest %v, %v", shuffled, err)
		}
	})
}

func TestDiff(t *testing.T) {
	c := qt.New(t)
	from := parse(c, readDocument(c))
	document := from.Document()
	document.Note = "press days"
	document.ClientAccounts[0].Share = 12
	document.ClientAccounts = append(document.ClientAccounts[:1], bundle.ClientAccount{Name: "band", Share: 1})
	kinds := document.Services[1].Kinds
	kinds[0], kinds[1] = kinds[1], kinds[0]
	kinds[2].Routes[0].Method = "PUT"
	to, err := bundle.New(document)
	c.Assert(err, qt.IsNil)
	c.Assert(bundle.Diff(from, to), qt.DeepEquals, []bundle.Change{
		{Place: "client_accounts[band]", Op: bundle.OpAdded,
			New: `{"key_sha256":[],"max_queued":1000,"name":"band","services":[],"share":1}`},
		{Place: "client_accounts[fair].share", Op: bundle.OpChanged, Old: "10", New: "12"},
		{Place: "client_accounts[stand]", Op: bundle.OpRemoved,
			Old: `{"key_sha256":[],"max_queued":1000,"name":"stand","services":["manuals"],"share":1}`},
		{Place: "note", Op: bundle.OpAdded, New: `"press days"`},
		{Place: "services[orders].kinds[change].routes", Op: bundle.OpChanged,
			Old: `[{"method":"*","path_prefix":"/orders"}]`, New: `[{"method":"PUT","path_prefix":"/orders"}]`},
		{Place: "services[orders].kinds", Op: bundle.OpChanged,
			Old: `["book","status","change","draft"]`, New: `["status","book","change","draft"]`},
	})
}

func FuzzApplyDelta(f *testing.F) {
	c := qt.New(f)
	from := parse(c, readDocument(c))
	document := from.Document()
	document.ClientAccounts[0].Share = 12
	to, err := bundle.New(document)
	c.Assert(err, qt.IsNil)
	delta, err := bundle.MakeDelta(from, to)
	c.Assert(err, qt.IsNil)
	f.Add(delta)
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := from.ApplyDelta(data)
		if err != nil {
			return
		}
		var claimed struct {
			Digest string `json:"digest"`
		}
		if json.Unmarshal(data, &claimed) != nil || claimed.Digest != got.Digest().String() {
			t.Fatalf("delta states digest %s, but its result has %s", claimed.Digest, got.Digest())
		}
	})
}

// fleetBundle returns a bundle with 2,200 client accounts and 16 models.
func fleetBundle(share int) *bundle.Bundle {
	document := bundle.Document{Regions: []bundle.Region{{Name: "maz", Zones: []string{"maz-1"}}}}
	service := bundle.Service{Name: "engines", Protocol: bundle.ProtocolOpenAI, Kinds: []bundle.Kind{{Name: "chat", Idempotent: true}}}
	for i := range 16 {
		service.Models = append(service.Models, fmt.Sprint("model-", i))
	}
	document.Services = []bundle.Service{service}
	for i := range 2_200 {
		hash := sha256.Sum256([]byte(fmt.Sprint(i)))
		document.ClientAccounts = append(document.ClientAccounts, bundle.ClientAccount{
			Name: fmt.Sprintf("account-%04d", i), Share: 1, Services: []string{"engines"},
			KeySHA256: []string{hex.EncodeToString(hash[:])},
		})
	}
	document.ClientAccounts[7].Share = share
	b, err := bundle.New(document)
	if err != nil {
		panic(err)
	}
	return b
}

func BenchmarkParseFleet(b *testing.B) {
	data, err := json.Marshal(fleetBundle(1))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := bundle.Parse(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "document-bytes")
}

func BenchmarkDeltaFleet(b *testing.B) {
	from, to := fleetBundle(1), fleetBundle(2)
	var delta []byte
	for b.Loop() {
		var err error
		if delta, err = bundle.MakeDelta(from, to); err != nil {
			b.Fatal(err)
		}
		if _, err = from.ApplyDelta(delta); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(delta)), "delta-bytes")
}
