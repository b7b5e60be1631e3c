package streams

import "time"

// Versions records which software versions each service has had within TTL.
type Versions struct {
	// lastSeen holds when each version of a service was last present.
	lastSeen map[string]map[string]time.Time
}

// NewVersions returns a record without services.
func NewVersions() *Versions { return &Versions{lastSeen: make(map[string]map[string]time.Time)} }

// Add records that an endpoint with the origin's version is present. It is to be called
// for all endpoints several times within TTL.
func (v *Versions) Add(now time.Time, o Origin) {
	if v.lastSeen[o.Service] == nil {
		v.lastSeen[o.Service] = make(map[string]time.Time)
	}
	v.lastSeen[o.Service][o.Software] = now
}

// Only returns the one version that the service has had within TTL, and whether there
// was exactly one.
func (v *Versions) Only(now time.Time, service string) (software string, only bool) {
	recent := 0
	for version, at := range v.lastSeen[service] {
		if now.Sub(at) < TTL {
			software = version
			recent++
		}
	}
	return software, recent == 1
}

// Mixed reports whether any service has had several versions within TTL.
func (v *Versions) Mixed(now time.Time) bool {
	for service := range v.lastSeen {
		if _, only := v.Only(now, service); !only {
			return true
		}
	}
	return false
}

// RemoveExpired removes the versions that were not present within TTL.
func (v *Versions) RemoveExpired(now time.Time) {
	for service, versions := range v.lastSeen {
		for version, at := range versions {
			if now.Sub(at) >= TTL {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(v.lastSeen, service)
		}
	}
}
