package sessions_test

import (
	"context"
	"encoding/json"
	"fmt"

	"oleanderramp/pkg/bundle"
	"oleanderramp/pkg/client"
)

// newDocument returns a bundle with the services assistant and orders and n
// client accounts. The first account has share 4, the others share 1.
func newDocument(n int, parent uint64) *bundle.Document {
	d := &bundle.Document{
		Parent: parent,
		Regions: []bundle.Region{
			{Name: "maz", Zones: []string{"maz-a"}}, {Name: "wlkp", Zones: []string{"wlkp-a"}},
			{Name: "mlp", Zones: []string{"mlp-a"}},
		},
		Services: []bundle.Service{
			{
				Name: "assistant", Protocol: bundle.ProtocolOpenAI, Models: []string{"standin"},
				Kinds: []bundle.Kind{{Name: "chat", Idempotent: true, QueueTimeoutMS: 20_000, ProgressTimeoutMS: 3_000}},
			},
			{
				Name: "orders", Protocol: bundle.ProtocolPlain,
				Kinds: []bundle.Kind{
					{Name: "booking", QueueTimeoutMS: 20_000, ProgressTimeoutMS: 3_000, Routes: []bundle.Route{{Method: "POST", PathPrefix: "/bookings"}}},
					{Name: "order-status", Idempotent: true, Routes: []bundle.Route{{Method: "GET", PathPrefix: "/"}}},
				},
			},
		},
	}
	for i := 1; i <= n; i++ {
		name := fmt.Sprintf("exhibitor-%02d", i)
		share := 1
		if i == 1 {
			share = 4
		}
		d.ClientAccounts = append(d.ClientAccounts, bundle.ClientAccount{
			Name: name, Share: share, KeySHA256: []string{keyHash("key-of-" + name)}, Services: []string{"assistant", "orders"},
		})
	}
	return d
}

func encode(d *bundle.Document) []byte {
	data, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return data
}

// accept proposes, signs off and accepts a bundle through the operator API of
// daemon 1.
func (f *fleet) accept(d *bundle.Document) error { return f.acceptAt(1, d) }

// acceptAt proposes, signs off and accepts a bundle through the operator API of
// daemon n.
func (f *fleet) acceptAt(n int, d *bundle.Document) error {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	status, err := f.operatorClient(n).Propose(ctx, encode(d))
	if err != nil {
		return fmt.Errorf("propose: %w", err)
	}
	reviewer, err := client.New(client.Config{Server: f.operatorsURL(n), Key: "key-of-operator-2"})
	if err != nil {
		return err
	}
	if _, err := reviewer.SignOff(ctx, status.Digest); err != nil {
		return fmt.Errorf("sign off: %w", err)
	}
	if _, err := f.operatorClient(n).Accept(ctx, status.Digest); err != nil {
		return fmt.Errorf("accept: %w", err)
	}
	return nil
}
