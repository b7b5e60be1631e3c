package standin

import (
	"encoding/json"
	"net/http"
	"slices"
)

// OrderKind is the kind of a control order to an engine.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order is the body of POST /v1/orders.
type Order struct {
	Order OrderKind `json:"order"`
	// Name is the name of the model, adapter or role.
	Name string `json:"name"`
	// Fence is the fencing token of the order's sender.
	Fence uint64 `json:"fence"`
}

// Orders returns the orders that were carried out, oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_order", err.Error())
		return
	}
	if order.Name == "" {
		writeError(w, http.StatusBadRequest, "invalid_order", `the field "name" must not be empty`)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && order.Fence < e.fence {
		writeError(w, http.StatusConflict, "old_fence", "the fencing token is lower than one seen before")
		return
	}
	switch order.Order {
	case OrderLoadModel:
		e.models = appendNew(e.models, order.Name)
	case OrderLoadAdapter:
		e.adapters = appendNew(e.adapters, order.Name)
	case OrderSetRole:
		e.role = order.Name
	default:
		writeError(w, http.StatusBadRequest, "invalid_order", "unknown order")
		return
	}
	e.fence = max(e.fence, order.Fence)
	e.orders = append(e.orders, order)
	writeJSON(w, http.StatusOK, order)
}

func appendNew(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

// ordersDocument is the response to GET /control/orders.
type ordersDocument struct {
	Role   string  `json:"role"`
	Fence  uint64  `json:"fence"`
	Orders []Order `json:"orders"`
}

func (e *Engine) handleOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	document := ordersDocument{Role: e.role, Fence: e.fence, Orders: slices.Clone(e.orders)}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, document)
}
