package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"citronspread/httpconn"
	"citronspread/model"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// MaxOrderDelay is the longest time in which an order can still reach a running engine
// after SendOrder has returned or its process has ended.
const MaxOrderDelay = 4 * time.Second

// Divisors of the order delay: each of these phases may take a quarter of it.
const (
	dialDivisor        = 4 // connecting
	writeDivisor       = 4 // writing the order
	userTimeoutDivisor = 4 // until unacknowledged data is discarded
)

// OrderUnsentError means that an order certainly never reached the engine.
type OrderUnsentError struct {
	Backend string
	OrderID string
	Cause   error
}

func (e *OrderUnsentError) Error() string {
	return fmt.Sprintf("engine: %s: order %s not sent: %v", e.Backend, e.OrderID, e.Cause)
}

// Unwrap returns the cause.
func (e *OrderUnsentError) Unwrap() error { return e.Cause }

// OrderOutcomeUnknownError means that the outcome of an order is unknown.
type OrderOutcomeUnknownError struct {
	Backend string
	OrderID string
	Cause   error
}

func (e *OrderOutcomeUnknownError) Error() string {
	return fmt.Sprintf("engine: %s: outcome of order %s unknown: %v", e.Backend, e.OrderID, e.Cause)
}

// Unwrap returns the cause.
func (e *OrderOutcomeUnknownError) Unwrap() error { return e.Cause }

// SendOrder sends an order once, on its own connection, and waits for the response.
// The error is an *OrderUnsentError or an *OrderOutcomeUnknownError.
func (c *Control) SendOrder(ctx context.Context, o model.Order) (OrderResponse, error) {
	req, err := c.newRequest(ctx, http.MethodPost, "/control/orders", nil, o)
	if err != nil {
		return OrderResponse{}, &OrderUnsentError{Backend: c.Backend, OrderID: o.ID, Cause: err}
	}
	conn, err := c.dialOrder(ctx)
	if err != nil {
		return OrderResponse{}, &OrderUnsentError{Backend: c.Backend, OrderID: o.ID, Cause: err}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()

	response, err := c.roundTrip(conn, req)
	if err != nil {
		return OrderResponse{}, &OrderOutcomeUnknownError{Backend: c.Backend, OrderID: o.ID, Cause: err}
	}
	return response, nil
}

func (c *Control) roundTrip(conn *httpconn.Conn, req *http.Request) (OrderResponse, error) {
	req.Close = true
	if err := conn.SetWriteDeadline(time.Now().Add(c.orderDelay() / writeDivisor)); err != nil {
		return OrderResponse{}, errors.Wrap(err, "engine: set write deadline")
	}
	if err := req.Write(conn); err != nil {
		return OrderResponse{}, errors.Wrap(err, "engine: write order")
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return OrderResponse{}, errors.Wrap(err, "engine: read response to order")
	}
	defer resp.Body.Close()
	if err := conn.CheckHead(c.Address, resp.StatusCode); err != nil {
		return OrderResponse{}, errors.Wrap(err, "engine: read response to order")
	}
	if resp.StatusCode != http.StatusOK {
		return OrderResponse{}, &ControlStatusError{Backend: c.Backend, Status: resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxControlResponseBytes))
	if err != nil {
		return OrderResponse{}, errors.Wrap(err, "engine: read response to order")
	}
	var response OrderResponse
	err = json.Unmarshal(body, &response)
	return response, errors.Wrap(err, "engine: decode response to order")
}

// dialOrder opens a connection that discards its unsent data when it is closed or when data stays unacknowledged,
// so that an order does not reach the engine after its delay.
func (c *Control) dialOrder(ctx context.Context) (*httpconn.Conn, error) {
	d := net.Dialer{
		Timeout: c.orderDelay() / dialDivisor,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setOrderOptions(raw, c.orderDelay()/userTimeoutDivisor)
		},
	}
	raw, err := d.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return nil, errors.Wrap(err, "engine: connect")
	}
	return httpconn.New(raw, nil), nil
}

func setOrderOptions(raw syscall.RawConn, userTimeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		linger := unix.Linger{Onoff: 1, Linger: 0}
		optionErr = errors.CombineErrors(
			unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &linger),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds())),
		)
	})
	return errors.CombineErrors(err, optionErr)
}

func (c *Control) orderDelay() time.Duration {
	if c.OrderDelay == 0 {
		return MaxOrderDelay
	}
	return c.OrderDelay
}
