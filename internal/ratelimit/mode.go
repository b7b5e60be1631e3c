package ratelimit

// mode is how much of the limit the routers use, by what they know of each other.
type mode struct {
	// turns is the fraction of the limit that the turns of all routers make up.
	turns float64
	// full is the fraction of what the limit allows within Window from which on no
	// requests are sent.
	full float64
	// boosted reports whether a router that needs more may have more.
	boosted bool
}

var (
	// uninformed holds while a router does not hear of the others: only the room that
	// the turns leave allows for those that come together by chance.
	uninformed = mode{turns: 0.65, full: 1}
	// regular holds where each router has a turn within Window. Such turns don't come
	// together by chance, and more of them make up for those that are not used, until
	// the count of all requests stops them.
	regular = mode{turns: 1.25, full: 1}
	// irregular holds for more routers: many of them may send before they have heard
	// of each other.
	irregular = mode{turns: 0.9, full: 0.9, boosted: true}
)

// mode returns the present mode.
func (l *Limiter) mode() mode {
	switch {
	case !l.fleet.Known:
		return uninformed
	case l.perSecond*Window.Seconds() >= float64(l.fleet.Routers):
		return regular
	default:
		return irregular
	}
}
