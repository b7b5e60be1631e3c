package settings

import (
	"fmt"
	"net/netip"

	"oleanderramp/pkg/finding"
)

// Validate adds a finding for each problem of the settings.
func (s *Site) Validate(list *finding.List) {
	list.CheckName("host", s.Host)
	list.CheckName("region", s.Region)
	list.CheckName("zone", s.Zone)
	s.validateRoles(list)
	s.validateAddresses(list)
	s.validateNumbers(list)
	s.Log.Validate(list)
	s.Clients.Validate(list)
}

func (s *Site) validateRoles(list *finding.List) {
	if len(s.Roles) == 0 {
		list.Addf("roles", "must not be empty")
	}
	for i, role := range s.Roles {
		if role != RoleRouter && role != RoleReplica {
			list.Addf(fmt.Sprintf("roles[%d]", i), "must be %q or %q", RoleRouter, RoleReplica)
		}
	}
	if s.HasRole(RoleReplica) && s.DataFolder == "" {
		list.Addf("data_folder", "is required for the role %q", RoleReplica)
	}
	if s.HasRole(RoleReplica) && s.Listen.Control == "" {
		list.Addf("listen.control", "is required for the role %q", RoleReplica)
	}
	if s.HasRole(RoleRouter) && s.Listen.Callers == "" {
		list.Addf("listen.callers", "is required for the role %q", RoleRouter)
	}
}

func (s *Site) validateAddresses(list *finding.List) {
	if _, err := netip.ParseAddr(s.Address); err != nil {
		list.Addf("address", "%q is not an IP address", s.Address)
	}
	s.validatePeerPorts(list)
	if _, err := netip.ParseAddrPort(s.Listen.Peers); err != nil && s.Listen.Peers != "" {
		list.Addf("listen.peers", "%q is not of the form \"IP:port\"", s.Listen.Peers)
	}
	for i, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			list.Addf(fmt.Sprintf("seeds[%d]", i), "%q is not of the form \"IP:port\"", seed)
		}
	}
}

const maxPort = 65535

// validatePeerPorts checks that the list holds the first and, if the range has
// more than one port, the last port.
func (s *Site) validatePeerPorts(list *finding.List) {
	if len(s.PeerPorts) == 0 || len(s.PeerPorts) > 2 {
		list.Addf("peer_ports", "must hold the first and the last port of a range, not %d ports", len(s.PeerPorts))
	}
	for i, port := range s.PeerPorts {
		if port < 1 || port > maxPort {
			list.Addf(fmt.Sprintf("peer_ports[%d]", i), "%d is not a port from 1 to %d", port, maxPort)
		}
	}
	if len(s.PeerPorts) == 2 && s.PeerPorts[1] < s.PeerPorts[0] {
		list.Addf("peer_ports", "the last port %d is below the first port %d", s.PeerPorts[1], s.PeerPorts[0])
	}
}

func (s *Site) validateNumbers(list *finding.List) {
	if s.ToleratedHosts < 0 {
		list.Addf("tolerated_hosts", "must not be negative")
	}
	if s.MemoryMB < 0 {
		list.Addf("memory_mb", "must not be negative")
	}
	if s.MaxConnections < 0 {
		list.Addf("max_connections", "must not be negative")
	}
	if s.MaxDescriptors < 0 {
		list.Addf("max_descriptors", "must not be negative")
	}
	if s.MaxLogLines < 0 {
		list.Addf("max_log_lines", "must not be negative")
	}
	if s.ShutdownS <= 0 {
		list.Addf("shutdown_s", "must be more than 0")
	}
	if s.ColdOverrun < 0 || s.ColdSlack < 0 {
		list.Addf("cold_overrun", "neither it nor cold_slack may be negative")
	}
	if s.ShareWindowS <= 0 {
		list.Addf("share_window_s", "must be more than 0")
	}
	s.validatePrices(list)
	if s.Retries.Ratio < 0 || s.Retries.Slack < 0 || s.Retries.WindowS <= 0 {
		list.Addf("retries", "ratio and slack must not be negative, and window_s must be more than 0")
	}
}

// validatePrices checks that both prices of traffic are set or neither.
func (s *Site) validatePrices(list *finding.List) {
	prices := []struct {
		name         string
		price, other *float64
	}{{"zone_gb_price", s.ZoneGBPrice, s.RegionGBPrice}, {"region_gb_price", s.RegionGBPrice, s.ZoneGBPrice}}
	for _, p := range prices {
		switch {
		case p.price == nil && p.other != nil:
			list.Addf(p.name, "is required if the other price of traffic is set")
		case p.price != nil && *p.price < 0:
			list.Addf(p.name, "must not be negative")
		}
	}
}
