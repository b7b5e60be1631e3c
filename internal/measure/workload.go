package measure

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// Workload describes the hosts, the accounts and the requests of one service.
type Workload struct {
	Name    string
	Service string
	Regions []Region
	// Accounts are the client accounts.
	Accounts []Account
	Kinds    []Kind
	// SlotTime is the mean service time of one unit of cost.
	SlotTime time.Duration
	// QueueLimit is the maximum number of waiting requests of an account at a
	// router.
	QueueLimit int
}

// Region is a region with its routers and endpoints.
type Region struct {
	Name      string
	Routers   int
	Endpoints int
	// Slots is the number of slots of each endpoint.
	Slots int
}

// Account is a client account.
type Account struct {
	Name  string
	Share int
	// Load is the offered load as a fraction of the fleet's capacity.
	Load float64
	// Home is the index of the router that receives most of the account's
	// requests, modulo the number of routers.
	Home int
}

// Kind is a kind of request. Its costs have a log-normal distribution.
type Kind struct {
	Name string
	// Fraction is the fraction of the requests that are of this kind.
	Fraction float64
	Mean     float64
	Sigma    float64
}

// hintSigma is the sigma of the log-normal error of the cost hints.
const hintSigma = 0.5

// hintBias is the median ratio of the hint to the true cost.
const hintBias = 0.6

// Workloads returns the workloads of the simulated services.
func Workloads() []Workload {
	return []Workload{targoprint(), orders(), waxCaravan()}
}

func targoprint() Workload {
	w := Workload{
		Name: "targoprint", Service: "manuals", SlotTime: 500 * time.Millisecond, QueueLimit: 60,
		Regions: []Region{
			{Name: "maz", Routers: 3, Endpoints: 4, Slots: 8},
			{Name: "wlkp", Routers: 2, Endpoints: 3, Slots: 8},
			{Name: "mlp", Routers: 2, Endpoints: 3, Slots: 8},
		},
		Kinds: []Kind{
			{Name: "question", Fraction: 0.6, Mean: 4, Sigma: 0.6},
			{Name: "summary", Fraction: 0.1, Mean: 20, Sigma: 0.8},
			{Name: "tag", Fraction: 0.3, Mean: 0.5, Sigma: 0.4},
		},
	}
	w.Accounts = accounts(3, 8, 0.6, 13, 0.04)
	return w
}

func orders() Workload {
	w := Workload{
		Name: "targoprint-orders", Service: "orders", SlotTime: time.Second, QueueLimit: 60,
		Regions: []Region{
			{Name: "maz", Routers: 3, Endpoints: 1, Slots: 4},
			{Name: "wlkp", Routers: 2, Endpoints: 1, Slots: 4},
			{Name: "mlp", Routers: 2, Endpoints: 1, Slots: 4},
		},
		Kinds: []Kind{{Name: "order", Fraction: 1, Mean: 1, Sigma: 0.3}},
	}
	w.Accounts = accounts(3, 8, 0.5, 13, 0.04)
	return w
}

func waxCaravan() Workload {
	w := Workload{
		Name: "wax-caravan", Service: "quotes", SlotTime: 500 * time.Millisecond, QueueLimit: 60,
		Regions: []Region{
			{Name: "levant", Routers: 3, Endpoints: 4, Slots: 4},
			{Name: "gulf", Routers: 2, Endpoints: 3, Slots: 4},
			{Name: "europe", Routers: 2, Endpoints: 3, Slots: 4},
		},
		Kinds: []Kind{
			{Name: "catalogue", Fraction: 0.04, Mean: 120, Sigma: 0.7},
			{Name: "chat", Fraction: 0.36, Mean: 3, Sigma: 0.6},
			{Name: "tag", Fraction: 0.6, Mean: 0.1, Sigma: 0.3},
		},
	}
	w.Accounts = accounts(3, 4, 0.35, 12, 0.05)
	return w
}

// accounts returns large accounts with the given share and small ones with
// share 1. Every second small account offers smallLoad, the others a tenth of it.
func accounts(large, share int, largeLoad float64, small int, smallLoad float64) []Account {
	var list []Account
	for i := range large {
		list = append(list, Account{Name: "large" + strconv.Itoa(i), Share: share, Load: largeLoad, Home: i})
	}
	for i := range small {
		load := smallLoad
		if i%2 == 1 {
			load /= 10
		}
		list = append(list, Account{Name: "small" + strconv.Itoa(i), Share: 1, Load: load, Home: i})
	}
	return list
}

// slots returns the total number of slots of the fleet.
func (w Workload) slots() int {
	total := 0
	for _, r := range w.Regions {
		total += r.Endpoints * r.Slots
	}
	return total
}

func (w Workload) routers() int {
	total := 0
	for _, r := range w.Regions {
		total += r.Routers
	}
	return total
}

// capacity returns the cost that the fleet can serve per second.
func (w Workload) capacity() float64 {
	return float64(w.slots()) / w.SlotTime.Seconds()
}

func (w Workload) meanCost() float64 {
	mean := 0.0
	for _, k := range w.Kinds {
		mean += k.Fraction * k.Mean
	}
	return mean
}

// rate returns the number of requests of the account per second.
func (w Workload) rate(a Account) float64 {
	return a.Load * w.capacity() / w.meanCost()
}

// draw returns a random kind of request, its true cost and a cost hint.
func (w Workload) draw(random *rand.Rand) (kind string, cost, hint float64) {
	at := random.Float64()
	k := w.Kinds[len(w.Kinds)-1]
	for _, o := range w.Kinds {
		if at < o.Fraction {
			k = o
			break
		}
		at -= o.Fraction
	}
	cost = k.Mean * math.Exp(k.Sigma*random.NormFloat64()-k.Sigma*k.Sigma/2)
	hint = hintBias * cost * math.Exp(hintSigma*random.NormFloat64())
	return k.Name, cost, hint
}

// pickRouter returns the index of a random router for a request of the account.
func (w Workload) pickRouter(a Account, random *rand.Rand) int {
	const homePart, secondPart = 0.7, 0.2
	n := w.routers()
	switch at := random.Float64(); {
	case at < homePart:
		return a.Home % n
	case at < homePart+secondPart:
		return (a.Home + 1) % n
	default:
		return random.IntN(n)
	}
}
