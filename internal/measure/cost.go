package measure

import (
	"math/rand/v2"
	"runtime"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/scheduler"
)

// Size describes the load on one scheduler.
type Size struct {
	// Accounts is the number of client accounts, a tenth of them backlogged.
	Accounts  int
	Endpoints int
	Routers   int
	// Rate is the number of requests per second.
	Rate int
}

// TargetSize returns the load that one scheduler is designed for.
func TargetSize() Size {
	return Size{Accounts: 2200, Endpoints: 730, Routers: 340, Rate: 4600}
}

// Cost holds the resources that one scheduler uses under a load.
type Cost struct {
	Size
	// GrantTime is the time spent in calls to the scheduler, per grant.
	GrantTime time.Duration
	// Grants is the number of grants per second.
	Grants float64
	// Cores is the processor use at that rate, in cores.
	Cores float64
	// Heap is the heap memory that the scheduler holds, in bytes.
	Heap uint64
	// ExchangeBytes is the number of bytes per second sent to one other region.
	ExchangeBytes float64
}

// Parameters of the load. The first half of a run lets the load reach a steady
// state and the second half is measured. measuredDivisor must be 2, as it sets
// the length of both.
const (
	slotsPerEndpoint      = 8
	tickLength            = 5 * time.Millisecond
	costRunLength         = 6 * time.Second
	waitingPerAccount     = 10
	backloggedDivisor     = 10
	prefixesPerRequest    = 4
	promptFamilies        = 20_000
	cachedPerAnnouncement = 8
	otherRegions          = 2
	modelsInUse           = 16
	modelsPerEndpoint     = 2
	measuredDivisor       = 2
)

// costRun runs one scheduler under the load of a size and times its calls.
type costRun struct {
	size      Size
	scheduler *scheduler.Scheduler
	random    *rand.Rand
	now       time.Time
	number    uint64
	sequence  uint64
	// due holds the completions that are due in each tick.
	due     [][]scheduler.Completion
	tick    int
	elapsed time.Duration
	grants  int
	bytes   int
}

// SchedulerCost measures the cost of one scheduler under the load of a size.
func SchedulerCost(size Size, seed uint64) Cost {
	before := heapInUse()
	s := &costRun{size: size, random: rand.New(rand.NewPCG(seed, seed)), now: epoch}
	s.scheduler = scheduler.New(scheduler.Config{Service: "manuals", Region: "maz", Incarnation: 1})
	s.due = make([][]scheduler.Completion, 2*int(costRunLength/tickLength))
	s.scheduler.SetRegions(s.now, []string{"wlkp", "mlp"})
	s.announceAll()
	for i := range size.Accounts {
		s.enqueue(i)
	}
	for range s.backlogged()*waitingPerAccount + size.Endpoints*slotsPerEndpoint {
		s.enqueue(s.random.IntN(s.backlogged()))
	}
	ticks := int(costRunLength / tickLength)
	for s.tick = range ticks {
		if s.tick == ticks/measuredDivisor {
			s.elapsed, s.grants, s.bytes = 0, 0, 0
		}
		s.step()
	}
	s.due = nil
	heap := heapInUse() - before
	measured := (costRunLength / measuredDivisor).Seconds()
	cost := Cost{Size: size, Heap: heap, ExchangeBytes: float64(s.bytes) / measured / otherRegions}
	cost.GrantTime = s.elapsed / time.Duration(max(s.grants, 1))
	cost.Grants = float64(s.grants) / measured
	cost.Cores = s.elapsed.Seconds() / measured
	runtime.KeepAlive(s.scheduler)
	return cost
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func (s *costRun) backlogged() int { return max(1, s.size.Accounts/backloggedDivisor) }

// step runs one tick: it completes requests and replaces them by new ones,
// announces endpoints, makes the scheduler's decisions and, every
// exchangePeriod, exchanges with the other regions.
func (s *costRun) step() {
	s.now = s.now.Add(tickLength)
	begin := time.Now()
	for _, c := range s.due[s.tick] {
		s.scheduler.Complete(s.now, c)
		s.enqueue(s.random.IntN(s.backlogged()))
	}
	s.due[s.tick] = nil
	s.announceSome()
	d := s.scheduler.Decide(s.now)
	s.elapsed += time.Since(begin)
	s.grants += len(d.Grants)
	mean := float64(s.size.Endpoints*slotsPerEndpoint) / float64(s.size.Rate) / tickLength.Seconds()
	for _, g := range d.Grants {
		at := s.tick + 1 + int(mean*(0.5+s.random.Float64()))
		if at < len(s.due) {
			s.due[at] = append(s.due[at], scheduler.Completion{ID: g.ID, Account: g.Account, Endpoint: g.Endpoint, Cost: 1})
		}
	}
	if s.tick%int(exchangePeriod/tickLength) == 0 {
		s.exchange()
	}
}

func (s *costRun) exchange() {
	begin := time.Now()
	out := s.scheduler.Outgoing(s.now)
	for _, o := range out {
		s.scheduler.Exchange(s.now, o.Region, scheduler.Exchange{
			Incarnation: 1, Full: true, Totals: o.Exchange.Totals, Backlogged: o.Exchange.Backlogged,
		})
	}
	s.elapsed += time.Since(begin)
	for _, o := range out {
		s.bytes += proto.Size(ExchangeMessage("manuals", o.Exchange)) + framingBytes
	}
}

func (s *costRun) enqueue(account int) {
	s.number++
	family := s.random.Uint64N(promptFamilies)
	prefix := make([]uint64, prefixesPerRequest)
	for i := range prefix {
		prefix[i] = family*prefixesPerRequest + uint64(i)
	}
	s.scheduler.Enqueue(s.now, scheduler.Request{
		ID: scheduler.RequestID{
			Router: scheduler.Router{Host: "r" + strconv.Itoa(s.random.IntN(s.size.Routers)), Incarnation: 1}, Number: s.number,
		},
		Account: "account" + strconv.Itoa(account), Kind: "question", Estimate: 1, Prefix: prefix,
		Model: "model" + strconv.Itoa(s.random.IntN(modelsInUse)),
	})
}

func (s *costRun) announceAll() {
	s.sequence++
	for i := range s.size.Endpoints {
		s.announce(i)
	}
}

// announceSome announces the endpoints whose turn is in this tick, which spreads
// the announcements evenly over announcePeriod.
func (s *costRun) announceSome() {
	ticks := int(announcePeriod / tickLength)
	if s.tick%ticks == 0 {
		s.sequence++
	}
	for i := s.tick % ticks; i < s.size.Endpoints; i += ticks {
		s.announce(i)
	}
}

func (s *costRun) announce(i int) {
	cached := make([]uint64, cachedPerAnnouncement)
	for j := range cached {
		cached[j] = s.random.Uint64N(promptFamilies * prefixesPerRequest)
	}
	running := slotsPerEndpoint
	if s.sequence == 1 {
		running = 0
	}
	var models []string
	for j := range modelsPerEndpoint {
		models = append(models, "model"+strconv.Itoa((i+j)%modelsInUse))
	}
	s.scheduler.Announce(s.now, scheduler.Announcement{
		Endpoint: "engine" + strconv.Itoa(i), Incarnation: 1, Sequence: s.sequence, Service: "manuals", Region: "maz",
		Address: "10.0.0.1:8000", Slots: slotsPerEndpoint, Running: running, Lease: announceLease, Cached: cached, Models: models,
	})
}
