package routing

import (
	"fmt"
	"slices"

	"oleanderramp/pkg/finding"
)

// regionPlace is an allowed region and its place in the document.
type regionPlace struct{ region, place string }

func (t *Table) addRegionPlaces(regions []string, place string) {
	for i, region := range regions {
		t.regionPlaces = append(t.regionPlaces, regionPlace{region, fmt.Sprintf("%s.regions[%d]", place, i)})
	}
}

// addAccountRegions records the allowed regions of an entry of an account. If several
// entries of one account have allowed regions, a region must be in all of them.
func (t *Table) addAccountRegions(a *Account, place string) {
	t.addRegionPlaces(a.Regions, place)
	if len(a.Regions) == 0 {
		return
	}
	regions := a.Regions
	if former, ok := t.accountRegions[a.Name]; ok {
		regions = intersect(former, regions)
	}
	t.accountRegions[a.Name] = regions
}

// AllowedRegions returns the regions in which a request of the route and the account may
// be served; nil for all. The result is not nil but empty if no region is allowed by
// both. It must not be modified.
func (t *Table) AllowedRegions(route *Route, account string) []string {
	ofAccount, restricted := t.accountRegions[account]
	switch {
	case !restricted && len(route.Regions) == 0:
		return nil
	case !restricted:
		return route.Regions
	case len(route.Regions) == 0:
		return ofAccount
	default:
		return intersect(route.Regions, ofAccount)
	}
}

// intersect returns the regions that are in both lists. The result is never nil.
func intersect(a, b []string) []string {
	both := make([]string, 0, min(len(a), len(b)))
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	return both
}

// RestrictedOutside reports whether a route or an account has allowed regions to which
// the region does not belong.
func (t *Table) RestrictedOutside(region string) bool {
	for _, r := range t.routes {
		if len(r.Regions) > 0 && !slices.Contains(r.Regions, region) {
			return true
		}
	}
	for _, regions := range t.accountRegions {
		if !slices.Contains(regions, region) {
			return true
		}
	}
	return false
}

// UnknownRegions returns a finding for each allowed region that is not known. Such a
// region is no error, as it may be added to the site later.
func (t *Table) UnknownRegions(known func(region string) bool) *finding.List {
	var list finding.List
	for _, p := range t.regionPlaces {
		if !known(p.region) {
			list.Addf(p.place, "no zone of the site belongs to region %q", p.region)
		}
	}
	return &list
}
