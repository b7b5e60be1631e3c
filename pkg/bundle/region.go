package bundle

import "oleanderramp/pkg/finding"

// Region is a region and its availability zones.
type Region struct {
	Name  string   `json:"name"`
	Zones []string `json:"zones"`
}

// Defaults does nothing; a Region has no defaults.
func (r *Region) Defaults() {}

// Validate adds a finding for each problem of the region itself.
func (r *Region) Validate(list *finding.List) {
	r.validate("", newUniqueSet("availability zone"), list)
}

func (r *Region) validate(place string, zones *uniqueSet, list *finding.List) {
	list.CheckName(fieldPlace(place, "name"), r.Name)
	checkCount(list, fieldPlace(place, "zones"), len(r.Zones), 1, maxZones)
	for i, zone := range r.Zones {
		zonePlace := elementPlace(fieldPlace(place, "zones"), i)
		list.CheckName(zonePlace, zone)
		zones.check(list, zonePlace, zone)
	}
}
