package membudget

import "math"

// budgetFraction is the part of a process's memory that clients can make it hold. The
// rest is for the process's own state, and for garbage that is not collected yet.
const budgetFraction = 1.0 / 3

// BytesFor returns the budget of a process from its memory in bytes; 0 stands for
// unknown, for which there is no bound.
func BytesFor(memory int64) int64 {
	if memory <= 0 {
		return math.MaxInt64 / 4
	}
	return int64(budgetFraction * float64(memory))
}
