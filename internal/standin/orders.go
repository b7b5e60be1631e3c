package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"
)

// Orders simulates a plain order service: it accepts bookings and counts how
// often each order ran.
type Orders struct {
	*base
	config OrdersConfig

	mu sync.Mutex
	// runs counts how often each order ran.
	runs map[string]int
	// bookings holds the bookings; booking n is at index n-1.
	bookings []Booking
}

// Booking is the response to a booking request.
type Booking struct {
	Booking int    `json:"booking"`
	Order   string `json:"order"`
	// Run is the number of runs of this order so far, including this one.
	Run      int    `json:"run"`
	Endpoint string `json:"endpoint"`
}

// NewOrders starts an order service.
func NewOrders(config OrdersConfig) (*Orders, error) {
	config.Defaults()
	b, err := newBase(config.Config)
	if err != nil {
		return nil, fmt.Errorf("order service: %w", err)
	}
	o := &Orders{base: b, config: config, runs: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", o.handleBook)
	mux.HandleFunc("GET /bookings/{id}", o.handleBooking)
	mux.HandleFunc("GET /status", o.handleServiceStatus)
	mux.HandleFunc("GET /control/runs", o.handleRuns)
	b.serve(mux, b.announcement)
	return o, nil
}

// Close stops the service at once and waits for its goroutines to end.
func (o *Orders) Close() { o.close() }

// Runs returns how often the order ran.
func (o *Orders) Runs(order string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[order]
}

type bookRequest struct {
	Order string `json:"order"`
}

func (o *Orders) handleBook(w http.ResponseWriter, r *http.Request) {
	body, ok := o.admit(w, r)
	if !ok {
		return
	}
	var request bookRequest
	if err := json.Unmarshal(body, &request); err != nil || request.Order == "" {
		writeError(w, http.StatusBadRequest, "invalid_booking", `the body must be JSON with a field "order"`)
		return
	}
	if !o.acquireSlot(r) {
		return
	}
	defer o.slots.release()
	booking := o.book(request.Order)
	if o.crashIfMarked(body) {
		return
	}
	o.answer(w, r, http.StatusCreated, booking)
}

// acquireSlot waits for a slot. It returns false if the client disconnects
// first.
func (o *Orders) acquireSlot(r *http.Request) bool {
	if o.slots.acquire(r.Context()) != nil {
		return false
	}
	o.countServed()
	return true
}

func (o *Orders) book(order string) Booking {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[order]++
	booking := Booking{
		Booking:  len(o.bookings) + 1,
		Order:    order,
		Run:      o.runs[order],
		Endpoint: o.config.Endpoint,
	}
	o.bookings = append(o.bookings, booking)
	o.config.Log.WithField("order", order).WithField("run", booking.Run).Info("booking ran")
	return booking
}

// answer waits for the configured service time and writes the document, or only
// its first half if FaultTruncate is active. If the endpoint closes in the
// meantime, it aborts the connection: the server would send an empty 200 for a
// handler that returns without writing.
func (o *Orders) answer(w http.ResponseWriter, r *http.Request, status int, document any) {
	if !sleep(o.stopCtx, o.config.ServiceTime) {
		panic(http.ErrAbortHandler)
	}
	o.delayAnswer(r.Context())
	if _, on := o.faults.take(FaultTruncate); on {
		truncate(w, status, document)
	}
	writeJSON(w, status, document)
}

// truncate writes the first half of the document and closes the connection.
func truncate(w http.ResponseWriter, status int, document any) {
	data, _ := json.Marshal(document)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (o *Orders) handleBooking(w http.ResponseWriter, r *http.Request) {
	if _, ok := o.admit(w, r); !ok {
		return
	}
	if !o.acquireSlot(r) {
		return
	}
	defer o.slots.release()
	var number int
	_, err := fmt.Sscanf(r.PathValue("id"), "%d", &number)
	o.mu.Lock()
	found := err == nil && number >= 1 && number <= len(o.bookings)
	var booking Booking
	if found {
		booking = o.bookings[number-1]
	}
	o.mu.Unlock()
	if !found {
		writeError(w, http.StatusNotFound, "unknown_booking", "no booking with this number")
		return
	}
	o.answer(w, r, http.StatusOK, booking)
}

// ordersStatus is the response to GET /status.
type ordersStatus struct {
	Endpoint string `json:"endpoint"`
	Bookings int    `json:"bookings"`
}

func (o *Orders) handleServiceStatus(w http.ResponseWriter, r *http.Request) {
	if _, ok := o.admit(w, r); !ok {
		return
	}
	if !o.acquireSlot(r) {
		return
	}
	defer o.slots.release()
	o.mu.Lock()
	status := ordersStatus{Endpoint: o.config.Endpoint, Bookings: len(o.bookings)}
	o.mu.Unlock()
	o.answer(w, r, http.StatusOK, status)
}

// runsDocument is the response to GET /control/runs.
type runsDocument struct {
	Runs map[string]int `json:"runs"`
}

func (o *Orders) handleRuns(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	runs := maps.Clone(o.runs)
	o.mu.Unlock()
	writeJSON(w, http.StatusOK, runsDocument{Runs: runs})
}
