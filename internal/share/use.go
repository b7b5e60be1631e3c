package share

// Use is the amount that an account asked for and the amount admitted within the
// window, in tokens.
type Use struct {
	Account  string
	Asked    float64
	Admitted float64
	// Shed is the part of Asked that routers refused because they were overloaded.
	Shed float64
}

// offered returns the tokens that routers could admit: overloaded ones can't admit what
// they shed.
func (u Use) offered() float64 { return u.Asked - u.Shed }

// Add returns the sum of two uses of an account.
func (u Use) Add(other Use) Use {
	u.Asked += other.Asked
	u.Admitted += other.Admitted
	u.Shed += other.Shed
	return u
}

// Subtract returns the difference of two uses of an account. No value falls below 0.
func (u Use) Subtract(other Use) Use {
	u.Asked = max(u.Asked-other.Asked, 0)
	u.Admitted = max(u.Admitted-other.Admitted, 0)
	u.Shed = max(u.Shed-other.Shed, 0)
	return u
}
