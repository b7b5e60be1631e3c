package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"oleanderramp/pkg/finding"
)

const keyHashBytes = 32

// controlRoles lists the roles of the daemons that other daemons connect to.
var controlRoles = []Role{RoleScheduler, RoleReplica, RolePlacement}

// Validate adds a finding for each problem of the settings.
func (s *Settings) Validate(list *finding.List) {
	list.CheckName("host", s.Host)
	list.CheckName("region", s.Region)
	list.CheckName("zone", s.Zone)
	validateRoles(list, "roles", s.Roles)
	if s.HasRole(RoleReplica) && s.DataFolder == "" {
		list.Addf("data_folder", "is required for the role %q", RoleReplica)
	}
	s.validateListen(list)
	s.validateControlHosts(list)
	s.validateOperators(list)
	s.validateTLS(list)
	s.Limits.Validate(list)
	s.Log.Validate(list)
}

// Advise adds a finding for each setting that is valid but not recommended.
func (s *Settings) Advise(list *finding.List) {
	replicas := s.countRole(RoleReplica)
	if replicas > 2 && replicas%2 == 0 {
		list.Addf("control_hosts", "%d replicas tolerate the loss of no more hosts than %d do; use an odd number",
			replicas, replicas-1)
	}
	if replicas == 2 {
		list.Addf("control_hosts", "2 replicas don't tolerate the loss of a host; use 3")
	}
	if s.TLS.Plaintext {
		list.Addf("tls.plaintext", "listeners without a certificate use plain TCP")
	}
}

func (s *Settings) countRole(role Role) int {
	count := 0
	for i := range s.ControlHosts {
		if slices.Contains(s.ControlHosts[i].Roles, role) {
			count++
		}
	}
	return count
}

func validateRoles(list *finding.List, place string, roles []Role) {
	if len(roles) == 0 {
		list.Addf(place, "at least one role is required")
	}
	for i, role := range roles {
		rolePlace := fmt.Sprintf("%s[%d]", place, i)
		if role != RoleRouter && !slices.Contains(controlRoles, role) {
			list.Addf(rolePlace, "must be %q, %q, %q or %q, not %q",
				RoleRouter, RoleScheduler, RoleReplica, RolePlacement, role)
		}
		if slices.Contains(roles[:i], role) {
			list.Addf(rolePlace, "the role %q is listed twice", role)
		}
	}
}

func (s *Settings) validateListen(list *finding.List) {
	required := map[string]bool{
		"peers":     true,
		"callers":   s.HasRole(RoleRouter),
		"endpoints": s.HasRole(RoleRouter),
	}
	first := make(map[netip.AddrPort]string)
	for _, listener := range s.listeners() {
		if listener.address == "" {
			if required[listener.name] {
				list.Addf(listener.place(), "is required for the roles of this daemon")
			}
			continue
		}
		address, ok := checkAddress(list, listener.place(), listener.address)
		if !ok || address.Port() == 0 {
			continue
		}
		if other, seen := first[address]; seen {
			list.Addf(listener.place(), "the address %s is already used by %s", address, other)
			continue
		}
		first[address] = listener.place()
	}
}

// listener is an address to listen on with its certificate.
type listener struct {
	name    string
	address string
	keyPair *KeyPair
}

func (l *listener) place() string { return "listen." + l.name }

func (s *Settings) listeners() []listener {
	return []listener{
		{"callers", s.Listen.Callers, s.TLS.Callers},
		{"endpoints", s.Listen.Endpoints, s.TLS.Endpoints},
		{"operators", s.Listen.Operators, s.TLS.Operators},
		{"peers", s.Listen.Peers, s.TLS.Peers},
	}
}

func (s *Settings) validateControlHosts(list *finding.List) {
	hosts := make(map[string]bool)
	addresses := make(map[netip.AddrPort]bool)
	for i := range s.ControlHosts {
		place := fmt.Sprintf("control_hosts[%d]", i)
		control := &s.ControlHosts[i]
		control.validate(place, list)
		if control.Host != "" && hosts[control.Host] {
			list.Addf(place+".host", "the host %q is listed twice", control.Host)
		}
		hosts[control.Host] = true
		address, err := netip.ParseAddrPort(control.Address)
		if err == nil && addresses[address] {
			list.Addf(place+".address", "the address %s is listed twice", address)
		}
		addresses[address] = true
		if control.Host == s.Host && s.Host != "" {
			s.validateOwnControlHost(place, control, list)
		}
	}
	if !hosts[s.Host] && len(s.controlRoles()) > 0 {
		list.Addf("control_hosts", "must list this host, %q, because of its roles", s.Host)
	}
	for _, role := range []Role{RoleReplica, RoleScheduler} {
		if s.countRole(role) == 0 {
			list.Addf("control_hosts", "must list at least one host with the role %q", role)
		}
	}
}

// controlRoles returns the daemon's control roles in a fixed order.
func (s *Settings) controlRoles() []Role { return controlRolesOf(s.Roles) }

func controlRolesOf(roles []Role) []Role {
	var found []Role
	for _, role := range controlRoles {
		if slices.Contains(roles, role) {
			found = append(found, role)
		}
	}
	return found
}

func (c *ControlHost) validate(place string, list *finding.List) {
	list.CheckName(place+".host", c.Host)
	list.CheckName(place+".region", c.Region)
	list.CheckName(place+".zone", c.Zone)
	validateRoles(list, place+".roles", c.Roles)
	if len(c.Roles) > 0 && len(controlRolesOf(c.Roles)) == 0 {
		list.Addf(place+".roles", "must have the role %q, %q or %q", RoleScheduler, RoleReplica, RolePlacement)
	}
	address, ok := checkAddress(list, place+".address", c.Address)
	if ok && (address.Port() == 0 || address.Addr().IsUnspecified()) {
		list.Addf(place+".address", "must be an address that other hosts can connect to, not %s", address)
	}
}

// validateOwnControlHost checks that this daemon's entry in the control hosts
// agrees with its settings.
func (s *Settings) validateOwnControlHost(place string, control *ControlHost, list *finding.List) {
	if control.Region != s.Region {
		list.Addf(place+".region", "must be this daemon's region, %q, not %q", s.Region, control.Region)
	}
	if control.Zone != s.Zone {
		list.Addf(place+".zone", "must be this daemon's zone, %q, not %q", s.Zone, control.Zone)
	}
	if !slices.Equal(controlRolesOf(control.Roles), s.controlRoles()) {
		list.Addf(place+".roles", "must be the roles of this daemon, %v, not %v", s.Roles, control.Roles)
	}
	listen, listenErr := netip.ParseAddrPort(s.Listen.Peers)
	address, addressErr := netip.ParseAddrPort(control.Address)
	if listenErr != nil || addressErr != nil || listen.Port() == 0 {
		return
	}
	sameAddr := listen.Addr().IsUnspecified() || listen.Addr().Unmap() == address.Addr().Unmap()
	if !sameAddr || listen.Port() != address.Port() {
		list.Addf(place+".address", "must be the address of listen.peers, %s, not %s", listen, address)
	}
}

func (s *Settings) validateOperators(list *finding.List) {
	names := make(map[string]bool)
	keys := make(map[string]bool)
	for i, operator := range s.Operators {
		place := fmt.Sprintf("operators[%d]", i)
		list.CheckName(place+".name", operator.Name)
		if operator.Name != "" && names[operator.Name] {
			list.Addf(place+".name", "the operator %q is listed twice", operator.Name)
		}
		names[operator.Name] = true
		hash, err := hex.DecodeString(operator.KeySHA256)
		if err != nil || len(hash) != keyHashBytes || operator.KeySHA256 != strings.ToLower(operator.KeySHA256) {
			list.Addf(place+".key_sha256", "must be a SHA-256 of 64 lower-case hex digits")
			continue
		}
		if keys[operator.KeySHA256] {
			list.Addf(place+".key_sha256", "another operator has the same key")
		}
		keys[operator.KeySHA256] = true
	}
}

func (s *Settings) validateTLS(list *finding.List) {
	for _, listener := range s.listeners() {
		place := "tls." + listener.name
		if listener.keyPair == nil {
			if listener.address != "" && !s.TLS.Plaintext {
				list.Addf(place, "is required, unless tls.plaintext is true")
			}
			continue
		}
		if listener.keyPair.CertFile == "" {
			list.Addf(place+".cert_file", "is required")
		}
		if listener.keyPair.KeyFile == "" {
			list.Addf(place+".key_file", "is required")
		}
		if listener.name == "peers" && listener.keyPair.CAFile == "" {
			list.Addf(place+".ca_file", "is required, because daemons authenticate each other")
		}
	}
}

func checkAddress(list *finding.List, place, text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		list.Addf(place, "must be an IP address and a port such as 10.0.0.1:7001, not %q", text)
		return netip.AddrPort{}, false
	}
	return address, true
}
