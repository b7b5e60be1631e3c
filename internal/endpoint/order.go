package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"oleanderramp/internal/uptime"
)

// Order is the body of POST /v1/orders at a model engine.
type Order struct {
	// Order is the kind of order: load_model, load_adapter or set_role.
	Order string `json:"order"`
	// Name is the name of the model, the adapter or the role.
	Name string `json:"name"`
	// Fence is the fencing token of the sender of the order.
	Fence uint64 `json:"fence"`
}

// maxOrderAnswerBytes is the maximum size of the response to an order, including
// its header.
const maxOrderAnswerBytes = 64 << 10

// ErrOldFence means that the engine has seen a larger fencing token.
var ErrOldFence = errors.New("the engine has seen a larger fencing token")

// OrderRefusedError is the response of an engine that rejected an order.
type OrderRefusedError struct {
	Status int
	// Code is the error code in the JSON body of the response, if any.
	Code string
}

func (e *OrderRefusedError) Error() string {
	return fmt.Sprintf("order refused with status %d %s", e.Status, e.Code)
}

// ErrOrderNotSent means that no byte of the order was sent.
var ErrOrderNotSent = errors.New("order not sent")

// SendOrder sends an order to the engine at the address, once, on a connection
// of its own. No byte of the order is sent after sendBy, a time of the clock
// uptime.Now: a process that was suspended in the meantime finds the connection
// closed, and closing it discards the data that the kernel has not sent by then.
//
// The error wraps ErrOldFence, ErrOrderNotSent or an *OrderRefusedError. After
// any other error it is unknown whether the engine executed the order.
func (c *Client) SendOrder(ctx context.Context, address string, order Order, sendBy time.Time) error {
	request, err := orderRequest(address, order)
	if err != nil {
		return fmt.Errorf("order to %s: %w: %w", address, ErrOrderNotSent, err)
	}
	ctx, cancel := context.WithTimeout(ctx, sendBy.Sub(uptime.Now()))
	defer cancel()
	dialer := net.Dialer{Timeout: c.config.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("order to %s: %w: %w", address, ErrOrderNotSent, err)
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Makes Close discard unsent data.
		_ = tcp.SetLinger(0)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := roundTripOrder(ctx, &endpointConn{Conn: conn}, request, sendBy); err != nil {
		return fmt.Errorf("order to %s: %w", address, err)
	}
	return nil
}

// orderRequest returns the serialized HTTP request.
func orderRequest(address string, order Order) ([]byte, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	var written bytes.Buffer
	if err := request.Write(&written); err != nil {
		return nil, err
	}
	return written.Bytes(), nil
}

// roundTripOrder writes the request in a single call, unless sendBy has passed,
// and evaluates the response. The caller closes the connection when the context
// ends.
func roundTripOrder(ctx context.Context, conn net.Conn, request []byte, sendBy time.Time) error {
	if ctx.Err() != nil || !uptime.Now().Before(sendBy) {
		return fmt.Errorf("%w: the deadline for sending has passed", ErrOrderNotSent)
	}
	if n, err := conn.Write(request); err != nil {
		if n == 0 {
			return fmt.Errorf("%w: %w", ErrOrderNotSent, err)
		}
		return err
	}
	response, err := readFinalResponse(bufio.NewReader(io.LimitReader(conn, maxOrderAnswerBytes)))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return orderResult(response)
}

// readFinalResponse reads the response after any interim ones (RFC 9110, section 15.2).
func readFinalResponse(reader *bufio.Reader) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil || !isInterim(response.StatusCode) {
			return response, err
		}
	}
}

// orderResult converts the engine's response to an error, nil for success.
func orderResult(response *http.Response) error {
	switch {
	case response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices:
		return nil
	case response.StatusCode == http.StatusConflict:
		return ErrOldFence
	}
	var document struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	// A response without such a body is a refusal without a code.
	_ = json.NewDecoder(response.Body).Decode(&document)
	return &OrderRefusedError{Status: response.StatusCode, Code: document.Error.Code}
}
