package standin

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
)

const (
	orderDone    = "done"
	orderLoading = "loading"
	orderFailed  = "failed"
	fetchTries   = 100
	fetchTimeout = 10 * time.Second
)

type wireWant struct {
	Versions []string `json:"versions"`
	Role     string   `json:"role"`
}

type wireOrder struct {
	Fence   int64    `json:"fence"`
	OrderID string   `json:"order_id"`
	Want    wireWant `json:"want"`
}

type wireOrderState struct {
	Fence    int64    `json:"fence"`
	OrderID  string   `json:"order_id"`
	State    string   `json:"state"`
	Versions []string `json:"versions"`
	Role     string   `json:"role"`
	Error    string   `json:"error"`
}

// Order is an order that an engine took.
type Order struct {
	Fence    int64
	ID       string
	Versions []string
	Taken    time.Time
}

// orderState is what an engine was ordered and how far it is.
type orderState struct {
	fence    int64
	id       string
	state    string
	failure  string
	versions []string
	role     string
	taken    []Order
}

// Orders returns the orders that the engine has taken.
func (e *Engine) Orders() []Order {
	e.state.Lock()
	defer e.state.Unlock()
	return append([]Order(nil), e.orders.taken...)
}

// Loaded returns the versions that the engine serves now.
func (e *Engine) Loaded() []string {
	e.state.Lock()
	defer e.state.Unlock()
	return append([]string(nil), e.orders.versions...)
}

func (e *Engine) handleOrder(c fiber.Ctx) error {
	var w wireOrder
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return fail(c, fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	e.state.Lock()
	defer e.state.Unlock()
	if e.ChecksFence && w.Fence < e.orders.fence {
		stale := wireError{Error: wireErrorBody{Type: "stale_fence"}, Fence: e.orders.fence}
		return c.Status(fiber.StatusConflict).JSON(stale)
	}
	if w.OrderID == e.orders.id && w.Fence == e.orders.fence {
		return c.Status(fiber.StatusAccepted).JSON(e.orderStatus())
	}
	e.take(w)
	return c.Status(fiber.StatusAccepted).JSON(e.orderStatus())
}

// take begins to carry out the order, in the place of any before it; e.state is held.
func (e *Engine) take(w wireOrder) {
	e.orders.fence = w.Fence
	e.orders.id = w.OrderID
	e.orders.failure = ""
	e.orders.state = orderLoading
	e.orders.taken = append(e.orders.taken, Order{Fence: w.Fence, ID: w.OrderID, Versions: w.Want.Versions, Taken: time.Now()})
	have := append([]string(nil), e.orders.versions...)
	e.tasks.Go(func() {
		err := e.fetchMissing(have, w.Want.Versions)
		e.settle(w, err)
	})
}

func (e *Engine) fetchMissing(have, want []string) error {
	for _, v := range want {
		if slices.Contains(have, v) {
			continue
		}
		if err := e.fetch(v); err != nil {
			return err
		}
		e.pause(e.LoadTime)
	}
	return nil
}

// settle ends the order unless another has come meanwhile.
func (e *Engine) settle(w wireOrder, failed error) {
	e.state.Lock()
	defer e.state.Unlock()
	if e.orders.id != w.OrderID || e.orders.fence != w.Fence {
		return
	}
	if failed != nil {
		e.orders.state = orderFailed
		e.orders.failure = failed.Error()
		return
	}
	e.orders.state = orderDone
	e.orders.versions = append([]string(nil), w.Want.Versions...)
	e.orders.role = orDefault(w.Want.Role, e.orders.role)
	e.snapshot(time.Now(), keepAlways)
}

// fetch gets a version's weights, again after the time that the store asks for.
func (e *Engine) fetch(version string) error {
	if e.WeightStore == "" {
		return nil
	}
	uri := "http://" + string(e.WeightStore) + "/v1/weights/" + version
	failed := fmt.Errorf("fetch weights of %q: no answer", version)
	for range fetchTries {
		status, retryAfter, err := get(uri)
		switch {
		case err != nil:
			failed = fmt.Errorf("fetch weights of %q: %w", version, err)
			retryAfter = time.Second
		case status == fiber.StatusOK:
			return nil
		case status == fiber.StatusNotFound:
			return fmt.Errorf("fetch weights of %q: the store has no such version", version)
		default:
			failed = fmt.Errorf("fetch weights of %q: status %d", version, status)
		}
		if !e.pause(max(retryAfter, relistenPause)) {
			return failed
		}
	}
	return failed
}

func get(uri string) (int, time.Duration, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(uri)
	if err := fasthttp.DoTimeout(req, resp, fetchTimeout); err != nil {
		return 0, 0, err
	}
	seconds, err := strconv.Atoi(string(resp.Header.Peek(fiber.HeaderRetryAfter)))
	if err != nil {
		seconds = 1
	}
	return resp.StatusCode(), time.Duration(seconds) * time.Second, nil
}

func (e *Engine) orderStatus() wireOrderState {
	return wireOrderState{
		Fence:    e.orders.fence,
		OrderID:  e.orders.id,
		State:    e.orders.state,
		Versions: append([]string{}, e.orders.versions...),
		Role:     e.orders.role,
		Error:    e.orders.failure,
	}
}

func (e *Engine) handleOrderState(c fiber.Ctx) error {
	e.state.Lock()
	defer e.state.Unlock()
	return c.JSON(e.orderStatus())
}
