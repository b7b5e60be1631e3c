package endpoint

// PoolBypassed reports whether calls to the address use new connections.
func (c *Client) PoolBypassed(address string) bool { return c.poolBypassed(address) }
