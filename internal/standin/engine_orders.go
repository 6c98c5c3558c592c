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
	orderDone        = "done"
	orderLoading     = "loading"
	orderFailed      = "failed"
	maxFetchAttempts = 100
	fetchTimeout     = 10 * time.Second
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

// Order is an order that an engine accepted.
type Order struct {
	Fence      int64
	ID         string
	Versions   []string
	AcceptedAt time.Time
}

// orderState is the current order of an engine, its progress and all accepted orders.
type orderState struct {
	fence    int64
	id       string
	state    string
	failure  string
	versions []string
	role     string
	accepted []Order
}

// Orders returns the orders that the engine has accepted.
func (e *Engine) Orders() []Order {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return append([]Order(nil), e.orders.accepted...)
}

// Loaded returns the versions that the engine currently serves.
func (e *Engine) Loaded() []string {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return append([]string(nil), e.orders.versions...)
}

func (e *Engine) handleOrder(c fiber.Ctx) error {
	var w wireOrder
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return sendError(c, fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	if e.ChecksFence && w.Fence < e.orders.fence {
		stale := wireError{Error: wireErrorBody{Type: "stale_fence"}, Fence: e.orders.fence}
		return c.Status(fiber.StatusConflict).JSON(stale)
	}
	if w.OrderID == e.orders.id && w.Fence == e.orders.fence {
		return c.Status(fiber.StatusAccepted).JSON(e.orderStatus())
	}
	e.startOrder(w)
	return c.Status(fiber.StatusAccepted).JSON(e.orderStatus())
}

// startOrder starts to carry out the order, which replaces the current one; e.stateMu must be held.
func (e *Engine) startOrder(w wireOrder) {
	e.orders.fence = w.Fence
	e.orders.id = w.OrderID
	e.orders.failure = ""
	e.orders.state = orderLoading
	e.orders.accepted = append(e.orders.accepted, Order{Fence: w.Fence, ID: w.OrderID, Versions: w.Want.Versions, AcceptedAt: time.Now()})
	loaded := append([]string(nil), e.orders.versions...)
	e.tasks.Go(func() {
		err := e.fetchMissing(loaded, w.Want.Versions)
		e.finishOrder(w, err)
	})
}

func (e *Engine) fetchMissing(loaded, want []string) error {
	for _, v := range want {
		if slices.Contains(loaded, v) {
			continue
		}
		if err := e.fetch(v); err != nil {
			return err
		}
		e.sleep(e.LoadTime)
	}
	return nil
}

// finishOrder records the result of the order unless another order has replaced it.
func (e *Engine) finishOrder(w wireOrder, err error) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	if e.orders.id != w.OrderID || e.orders.fence != w.Fence {
		return
	}
	if err != nil {
		e.orders.state = orderFailed
		e.orders.failure = err.Error()
		return
	}
	e.orders.state = orderDone
	e.orders.versions = append([]string(nil), w.Want.Versions...)
	e.orders.role = orDefault(w.Want.Role, e.orders.role)
	e.snapshot(time.Now(), snapshotAlways)
}

// fetch downloads a version's weights and retries after the delay that the store requests.
func (e *Engine) fetch(version string) error {
	if e.WeightStore == "" {
		return nil
	}
	uri := "http://" + string(e.WeightStore) + "/v1/weights/" + version
	lastErr := fmt.Errorf("fetch weights of %q: no answer", version)
	for range maxFetchAttempts {
		status, retryAfter, err := fetchOnce(uri)
		switch {
		case err != nil:
			lastErr = fmt.Errorf("fetch weights of %q: %w", version, err)
			retryAfter = time.Second
		case status == fiber.StatusOK:
			return nil
		case status == fiber.StatusNotFound:
			return fmt.Errorf("fetch weights of %q: the store has no such version", version)
		default:
			lastErr = fmt.Errorf("fetch weights of %q: status %d", version, status)
		}
		if !e.sleep(max(retryAfter, retryInterval)) {
			return lastErr
		}
	}
	return lastErr
}

func fetchOnce(uri string) (int, time.Duration, error) {
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
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return c.JSON(e.orderStatus())
}
