package settings

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"
)

// Site is the JSON form of the settings of a daemon at a site without a list of
// its hosts, where daemons discover each other from seeds.
type Site struct {
	// Host is the name of the daemon in logs.
	Host   string `json:"host"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	Zones  []Zone `json:"zones"`
	Roles  []Role `json:"roles"`
	// Address is the host's IP address.
	Address string `json:"address"`
	// PeerPorts holds the first and the last port of the range for connections
	// between daemons. It must be the same on all hosts.
	PeerPorts []int      `json:"peer_ports"`
	Listen    SiteListen `json:"listen"`
	// Seeds lists the addresses of some control hosts as "IP:port". The port is
	// ignored.
	Seeds []string `json:"seeds"`
	// FirstStart is true only when the whole site starts for the first time.
	FirstStart bool `json:"first_start"`
	// ToleratedHosts is how many control hosts may be lost simultaneously.
	ToleratedHosts int `json:"tolerated_hosts"`
	// DataFolder holds all durable files. Required for RoleReplica.
	DataFolder string `json:"data_folder,omitempty"`
	MemoryMB   int    `json:"memory_mb"`
	// MaxConnections is how many connections of one listener may be open before
	// idle ones are closed early, and those of rejected callers immediately.
	MaxConnections int `json:"max_connections"`
	// MaxDescriptors is how many file descriptors the process may have open.
	MaxDescriptors int `json:"max_descriptors"`
	// ShutdownS is how long a daemon may take to stop, in seconds.
	ShutdownS float64 `json:"shutdown_s"`
	// ShareWindowS is the time window, in seconds, over which each client
	// account receives its share.
	ShareWindowS float64     `json:"share_window_s"`
	Retries      SiteRetries `json:"retries"`
	// SharedSpeeds makes routers use the endpoint speeds that all of them measure.
	SharedSpeeds bool `json:"shared_speeds,omitempty"`
	Log          Log  `json:"log"`
	// ColdOverrun and ColdSlack bound how many requests a cold endpoint gets from all
	// routers within any second: the limit of its service times ColdOverrun, plus
	// ColdSlack. Without ColdOverrun, cold endpoints are not limited.
	ColdOverrun float64 `json:"cold_overrun,omitempty"`
	ColdSlack   float64 `json:"cold_slack,omitempty"`
	// ZoneGBPrice and RegionGBPrice are what a GB of traffic between zones of a
	// region and between regions costs, in milliseconds of waiting that it is worth.
	// Without them, a router does not prefer endpoints of its zone.
	ZoneGBPrice   *float64 `json:"zone_gb_price,omitempty"`
	RegionGBPrice *float64 `json:"region_gb_price,omitempty"`
	// Contention makes routers decide by rank, priority and size which requests run while
	// capacity is scarce, and tell refused ones when they are likely to be admitted.
	Contention bool `json:"contention,omitempty"`
	// MaxLogLines bounds the log lines per second.
	MaxLogLines int     `json:"max_log_lines"`
	Clients     Clients `json:"clients"`
}

// Zone assigns an availability zone to its region.
type Zone struct {
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// SiteListen holds the addresses to listen on, each "IP:port" or empty for no
// listener.
type SiteListen struct {
	Callers   string `json:"callers,omitempty"`
	Readiness string `json:"readiness,omitempty"`
	Control   string `json:"control,omitempty"`
	// Peers is the address on which this daemon listens for other daemons and
	// whose IP it connects from. It is set only if that differs from Address,
	// such as behind a relay or network address translation.
	Peers   string `json:"peers,omitempty"`
	Metrics string `json:"metrics,omitempty"`
}

// SiteRetries holds the retry budget of all routers together.
type SiteRetries struct {
	// Ratio is the number of retries that each request adds to the budget of
	// its service.
	Ratio float64 `json:"ratio"`
	// Slack is the number of additional retries allowed within the window.
	Slack float64 `json:"slack"`
	// WindowS is the length of the window in seconds.
	WindowS float64 `json:"window_s"`
}

// Defaults sets all unset fields to their defaults.
func (s *Site) Defaults() {
	setDefault(&s.ShutdownS, 10)
	setDefault(&s.MaxConnections, 512)
	setDefault(&s.MaxDescriptors, 4096)
	setDefault(&s.MaxLogLines, 400)
	setDefault(&s.ShareWindowS, 4)
	setDefault(&s.Retries.Ratio, 0.2)
	setDefault(&s.Retries.Slack, 50)
	setDefault(&s.Retries.WindowS, 10)
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Log.Format, "json")
	s.Clients.Defaults()
}

// HasRole reports whether the daemon has the role.
func (s *Site) HasRole(role Role) bool {
	for _, r := range s.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// RegionOf returns the region of an availability zone, or "" if the zone is
// unknown.
func (s *Site) RegionOf(zone string) string {
	for _, z := range s.Zones {
		if z.Zone == zone {
			return z.Region
		}
	}
	return ""
}

// HasZone reports whether the site has the availability zone.
func (s *Site) HasZone(zone string) bool {
	return slices.ContainsFunc(s.Zones, func(z Zone) bool { return z.Zone == zone })
}

// HasRegion reports whether an availability zone of the site belongs to the region.
func (s *Site) HasRegion(region string) bool {
	return slices.ContainsFunc(s.Zones, func(z Zone) bool { return z.Region == region })
}

// PeerAddress returns the address at which other daemons reach this one.
func (s *Site) PeerAddress() string { return peerAddress(s.Address, s.PeerPorts[0]) }

// PeerListener returns the address to listen on for other daemons.
func (s *Site) PeerListener() string {
	if s.Listen.Peers != "" {
		return s.Listen.Peers
	}
	return s.PeerAddress()
}

// PeerSource returns the source IP for connections to other daemons, or "" for
// any.
func (s *Site) PeerSource() string {
	if s.Listen.Peers == "" {
		return ""
	}
	ip, _, _ := net.SplitHostPort(s.Listen.Peers) // Validate has checked it.
	return ip
}

// SeedAddresses returns the peer addresses of the seeds.
func (s *Site) SeedAddresses() []string {
	var seeds []string
	for _, seed := range s.Seeds {
		address, err := netip.ParseAddrPort(seed)
		if err == nil {
			seeds = append(seeds, peerAddress(address.Addr().String(), s.PeerPorts[0]))
		}
	}
	return seeds
}

func peerAddress(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// ShareWindow returns ShareWindowS as a duration.
func (s *Site) ShareWindow() time.Duration { return seconds(s.ShareWindowS) }

// LimitsColdEndpoints reports whether cold endpoints get fewer requests.
func (s *Site) LimitsColdEndpoints() bool { return s.ColdOverrun > 0 }

// ShutdownTimeout returns ShutdownS as a duration.
func (s *Site) ShutdownTimeout() time.Duration { return seconds(s.ShutdownS) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ParseSite decodes and validates the JSON form of a site daemon's settings and
// sets the defaults. The error is a *finding.Error with all problems found.
func ParseSite(data []byte) (*Site, error) {
	site := &Site{}
	if err := parse(data, site, func() bool { return site.Host == "" && site.Roles == nil }); err != nil {
		return nil, err
	}
	return site, nil
}
