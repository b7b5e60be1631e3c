// Package demo provides the demonstration of `oleanderramp serve --dev`: the
// settings of a single daemon with all roles, a configuration bundle, and
// stand-ins for a model engine and an order service.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"oleanderramp/internal/settings"
	"oleanderramp/internal/standin"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

// Names and keys of the demonstration. The keys are public.
const (
	Host             = "dev-1"
	Region           = "local"
	Zone             = "local-a"
	AccountKey       = "demo-account-key"
	OperatorKey      = "demo-operator-key"
	reviewerKey      = "demo-reviewer-key"
	Model            = "standin"
	engineName       = "engine-1"
	ordersName       = "orders-1"
	assistantService = "assistant"
	ordersService    = "orders"
	engineSlots      = 8
	orderSlots       = 4
	// memoryMB is little, as the stand-ins run in the same process.
	memoryMB = 256
)

// Addresses of the demonstration's listeners.
const (
	CallersAddress   = "127.0.0.1:9400"
	EndpointsAddress = "127.0.0.1:9410"
	PeersAddress     = "127.0.0.1:9420"
	OperatorsAddress = "127.0.0.1:9430"
)

// Settings returns the settings of a single daemon with all roles.
func Settings(dataFolder string) (*settings.Settings, error) {
	allRoles := []settings.Role{settings.RoleRouter, settings.RoleScheduler, settings.RoleReplica}
	s := settings.Settings{
		Host: Host, Region: Region, Zone: Zone, Roles: allRoles, DataFolder: dataFolder,
		Listen: settings.Listen{
			Callers: CallersAddress, Endpoints: EndpointsAddress, Peers: PeersAddress, Operators: OperatorsAddress,
		},
		ControlHosts: []settings.ControlHost{
			{Host: Host, Region: Region, Zone: Zone, Address: PeersAddress, Roles: allRoles[1:]},
		},
		Operators: []settings.Operator{
			{Name: "proposer", KeySHA256: hash(OperatorKey)},
			{Name: "reviewer", KeySHA256: hash(reviewerKey)},
		},
		TLS: settings.TLS{Plaintext: true},
		Log: settings.Log{Format: "text"}, Limits: settings.Limits{MemoryMB: memoryMB},
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	return settings.Parse(data)
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Document returns the demonstration bundle.
func Document() *bundle.Document {
	return &bundle.Document{
		Version: 1,
		Regions: []bundle.Region{{Name: Region, Zones: []string{Zone}}},
		ClientAccounts: []bundle.ClientAccount{{
			Name: "demo", Share: 1, KeySHA256: []string{hash(AccountKey)}, Services: []string{assistantService, ordersService},
		}},
		Services: []bundle.Service{
			{
				Name: assistantService, Protocol: bundle.ProtocolOpenAI, Cost: bundle.CostTokens, Models: []string{Model},
				Kinds: []bundle.Kind{{Name: "chat", Idempotent: true}},
			},
			{
				Name: ordersService, Protocol: bundle.ProtocolPlain, Cost: bundle.CostRequests,
				Kinds: []bundle.Kind{
					{Name: "booking", Routes: []bundle.Route{{Method: "POST", PathPrefix: "/bookings"}}},
					{Name: "status", Idempotent: true, Routes: []bundle.Route{{Method: "GET", PathPrefix: "/"}}},
				},
			},
		},
	}
}

// Quorum executes commands and queries on the replicated state.
type Quorum interface {
	Execute(ctx context.Context, command *wire.Command) (*wire.Result, error)
	Query(ctx context.Context, query *wire.QueryRequest) (*wire.QueryResponse, error)
}

// InstallBundle proposes, signs off and accepts the demonstration bundle,
// unless a bundle has been accepted before.
func InstallBundle(ctx context.Context, quorum Quorum) error {
	existing, err := quorum.Query(ctx, &wire.QueryRequest{Body: &wire.QueryRequest_Bundle{Bundle: &wire.BundleQuery{}}})
	if err != nil {
		return fmt.Errorf("query the accepted bundle: %w", err)
	}
	if len(existing.GetBundles()) > 0 && existing.GetBundles()[0].GetVersion() > 0 {
		return nil
	}
	data, err := json.Marshal(Document())
	if err != nil {
		return fmt.Errorf("encode bundle: %w", err)
	}
	parsed, err := bundle.Parse(data)
	if err != nil {
		return fmt.Errorf("parse demonstration bundle: %w", err)
	}
	digest := parsed.Digest().Bytes()
	commands := []*wire.Command{
		{Body: &wire.Command_ProposeBundle{ProposeBundle: &wire.ProposeBundle{Operator: "proposer", Document: data}}},
		{Body: &wire.Command_SignOffBundle{SignOffBundle: &wire.SignOffBundle{Operator: "reviewer", Digest: digest}}},
		{Body: &wire.Command_AcceptBundle{AcceptBundle: &wire.AcceptBundle{Operator: "proposer", Digest: digest}}},
	}
	for _, command := range commands {
		result, err := quorum.Execute(ctx, command)
		if err != nil {
			return fmt.Errorf("install demonstration bundle: %w", err)
		}
		if rejection := result.GetError(); rejection != nil {
			return fmt.Errorf("install demonstration bundle: %s: %s", rejection.GetCode(), rejection.GetMessage())
		}
	}
	return nil
}

// Endpoints are the stand-in endpoints of the demonstration.
type Endpoints struct {
	engine *standin.Engine
	orders *standin.Orders
}

// NewEndpoints starts a stand-in model engine and order service. They announce
// themselves to the URL announceTo.
func NewEndpoints(announceTo string) (*Endpoints, error) {
	common := standin.Config{
		Listen: "127.0.0.1:0", Region: Region, Zone: Zone, AnnounceTo: []string{announceTo}, AnnounceInterval: time.Second,
	}
	engineConfig := standin.EngineConfig{Config: common, Models: []string{Model}}
	engineConfig.Endpoint, engineConfig.Service, engineConfig.Slots = engineName, assistantService, engineSlots
	engine, err := standin.NewEngine(engineConfig)
	if err != nil {
		return nil, err
	}
	ordersConfig := standin.OrdersConfig{Config: common}
	ordersConfig.Endpoint, ordersConfig.Service, ordersConfig.Slots = ordersName, ordersService, orderSlots
	orderService, err := standin.NewOrders(ordersConfig)
	if err != nil {
		engine.Close()
		return nil, err
	}
	return &Endpoints{engine: engine, orders: orderService}, nil
}

// Close stops the stand-ins and waits until they have ended.
func (e *Endpoints) Close() error {
	e.engine.Close()
	e.orders.Close()
	return nil
}
