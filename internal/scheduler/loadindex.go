package scheduler

// loadLevels is the number of load levels of a free endpoint.
const loadLevels = 16

// loadIndex holds the free endpoints by load level.
type loadIndex struct {
	levels [loadLevels][]*endpoint
	size   int
}

func (x *loadIndex) add(e *endpoint) {
	e.level = min(e.inUse*loadLevels/max(e.Slots, 1), loadLevels-1)
	e.position = len(x.levels[e.level])
	x.levels[e.level] = append(x.levels[e.level], e)
	x.size++
}

func (x *loadIndex) remove(e *endpoint) {
	if e.position < 0 {
		return
	}
	level := x.levels[e.level]
	last := len(level) - 1
	level[e.position] = level[last]
	level[e.position].position = e.position
	level[last] = nil
	x.levels[e.level] = level[:last]
	e.position = -1
	x.size--
}

// leastLoaded returns an endpoint of the lowest load level for which accept
// returns true, or nil.
func (x *loadIndex) leastLoaded(accept func(*endpoint) bool) *endpoint {
	for _, level := range x.levels {
		for _, e := range level {
			if accept(e) {
				return e
			}
		}
	}
	return nil
}

// freeSlots returns the number of free slots of the endpoints in the index.
func (x *loadIndex) freeSlots() int {
	free := 0
	for _, level := range x.levels {
		for _, e := range level {
			free += max(0, e.Slots-e.foreign-e.inUse)
		}
	}
	return free
}

// lowestLevel returns the lowest level that holds an endpoint, or loadLevels.
func (x *loadIndex) lowestLevel() int {
	for i, level := range x.levels {
		if len(level) > 0 {
			return i
		}
	}
	return loadLevels
}
