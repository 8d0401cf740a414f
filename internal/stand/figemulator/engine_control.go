package figemulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

// Order is a control command that an engine has executed.
type Order struct {
	Fence uint64 `json:"fence"`
	// Kind is one of loadModel, unloadModel, loadAdapter, setVersion and setRole.
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// orders holds the executed orders and the highest fencing number received.
type orders struct {
	mu    sync.Mutex
	done  []Order
	fence uint64
}

func (o *orders) add(order Order, checked bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if checked && order.Fence < o.fence {
		return false
	}
	o.fence = max(o.fence, order.Fence)
	o.done = append(o.done, order)
	return true
}

func (o *orders) state() ([]string, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	adapters := []string{}
	for _, d := range o.done {
		if d.Kind == "loadAdapter" {
			adapters = append(adapters, d.Name)
		}
	}
	return adapters, o.fence
}

// Orders returns the executed orders, oldest first.
func (e *Engine) Orders() []Order {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return slices.Clone(e.orders.done)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "badBody", err.Error())
		return
	}
	if !e.orders.add(o, e.opts.ChecksFence) {
		writeError(w, http.StatusConflict, "oldFence", "the fencing number is lower than the highest one received")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// serveCancel cancels a running request and drops its stored prefill result.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var q struct {
		ID string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		writeError(w, http.StatusBadRequest, "badBody", err.Error())
		return
	}
	e.active.Lock()
	defer e.active.Unlock()
	if run, ok := e.running[q.ID]; ok {
		run.cancel(errCancelled)
	}
	e.dropResult(q.ID)
	writeJSON(w, http.StatusOK, struct{}{})
}
