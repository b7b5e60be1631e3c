package share

// Use is the amount that an account asked for and the amount admitted within the
// window, in tokens.
type Use struct {
	Account  string
	Asked    float64
	Admitted float64
	// Shed is the part of Asked that routers refused because they were overloaded.
	Shed float64
	// Placed is the part of Admitted, and Unplaced the part of Asked that was within the
	// account's share and for which no endpoint was found, of the last recentBuckets. They
	// cover a shorter time than the window, so that the pace falls soon after endpoints are
	// free again.
	Placed, Unplaced float64
}

// readable returns the tokens that routers could consider: overloaded ones can't admit
// what they shed.
func (u Use) readable() float64 { return u.Asked - u.Shed }

// minPlaced is the least fraction of the requests that counts as finding an endpoint. It
// bounds by how much more routers admit at once when endpoints become free.
const minPlaced = 1.0 / 3

// placed returns the fraction of the tokens admitted by chance for which an endpoint was
// found.
func (u Use) placed() float64 {
	if u.Unplaced <= 0 {
		return 1
	}
	return max(u.Placed/(u.Placed+u.Unplaced), minPlaced)
}

// Add returns the sum of two uses of an account.
func (u Use) Add(other Use) Use {
	u.Asked += other.Asked
	u.Admitted += other.Admitted
	u.Shed += other.Shed
	u.Placed += other.Placed
	u.Unplaced += other.Unplaced
	return u
}

// Subtract returns the difference of two uses of an account. No value falls below 0.
func (u Use) Subtract(other Use) Use {
	u.Asked = max(u.Asked-other.Asked, 0)
	u.Admitted = max(u.Admitted-other.Admitted, 0)
	u.Shed = max(u.Shed-other.Shed, 0)
	u.Placed = max(u.Placed-other.Placed, 0)
	u.Unplaced = max(u.Unplaced-other.Unplaced, 0)
	return u
}
