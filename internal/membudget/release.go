package membudget

const (
	// loadedFraction is the part of the budget in use at which memory is worth returning
	// to the system afterwards, and calmFraction the part up to which that is afterwards.
	loadedFraction = 1.0 / 4
	calmFraction   = 1.0 / 12
	// calmChecks is the number of checks in sequence that must find calm.
	calmChecks = 2
)

// Release decides when freed memory is returned to the system: once after each load.
type Release struct {
	loaded bool
	calm   int
}

// Check is called at a fixed interval with the highest use of the budget since the last
// call and the present one. It reports whether to return freed memory now.
func (r *Release) Check(budget, highest, present int64) bool {
	r.loaded = r.loaded || float64(highest) >= loadedFraction*float64(budget)
	if !r.loaded || float64(present) > calmFraction*float64(budget) {
		r.calm = 0
		return false
	}
	if r.calm++; r.calm < calmChecks {
		return false
	}
	r.loaded, r.calm = false, 0
	return true
}
