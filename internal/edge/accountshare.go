package edge

import (
	"time"

	"oleanderramp/internal/share"
)

const (
	// shortFraction is the fraction of the average tokens per request up to which
	// a request counts as short. shortLevelFactor is the factor by which short
	// requests may exceed the account's fair level, because they cost engines
	// little and many callers wait for them.
	shortFraction    = 0.35
	shortLevelFactor = 1.4
	// averageSmoothing is the weight of a request in the average tokens.
	averageSmoothing = 0.01
)

// shedFirst reports whether an overloaded router refuses requests of the account before
// those of others: it has used its share, or floods the router, which then may be unable
// to admit even its share.
func (c *AdmissionController) shedFirst(now time.Time, account string, draw float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.capacity == 0 {
		return false
	}
	s := c.ledger.Share(now, account, c.capacity, draw)
	return !s.WithinLevel() || s.Floods()
}

// share returns an account's share.
func (c *AdmissionController) share(now time.Time, account string) share.Share {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Share(now, account, c.capacity, 0)
}

// recordShed counts the tokens of a request that an overloaded router refuses. The request
// stands for as many others whose connections were rejected unread.
func (c *AdmissionController) recordShed(now time.Time, account string, tokens float64, unread int) {
	if tokens == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	unreadTokens := tokens * float64(unread)
	c.ledger.RecordAsked(now, account, tokens+unreadTokens)
	c.ledger.RecordShed(now, account, tokens+unreadTokens)
	t := c.tally(account)
	t.asked += tokens + unreadTokens
	t.unread += unreadTokens
	t.shed += tokens
}

// checkShare counts the request and reports whether it is within its account's
// share. c.mu is held.
func (c *AdmissionController) checkShare(now time.Time, request placementRequest) (bool, share.Share) {
	if request.tokens == 0 || c.capacity == 0 {
		return true, share.Share{}
	}
	if !request.begun {
		c.ledger.RecordAsked(now, request.account, request.tokens)
		c.tally(request.account).asked += request.tokens
	}
	s := c.ledger.Share(now, request.account, c.capacity, request.draw)
	if c.isShort(request.tokens) {
		s = s.Raised(shortLevelFactor)
	}
	return request.begun || s.WithinLevel(), s
}

// isShort reports whether a request costs little compared with the average, and
// adds it to the average. c.mu is held.
func (c *AdmissionController) isShort(tokens float64) bool {
	if c.averageTokens == 0 {
		c.averageTokens = tokens
	}
	c.averageTokens += averageSmoothing * (tokens - c.averageTokens)
	return tokens <= shortFraction*c.averageTokens
}
