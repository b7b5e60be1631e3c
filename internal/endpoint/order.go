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
)

// Order is the body of POST /v1/orders at a model engine.
type Order struct {
	// Order is the kind: load_model, load_adapter or set_role.
	Order string `json:"order"`
	// Name is that of the model, the adapter or the role.
	Name string `json:"name"`
	// Fence is the fencing number of whoever gives the order.
	Fence uint64 `json:"fence"`
}

// maxOrderAnswerBytes bounds the answer to an order, its header included.
const maxOrderAnswerBytes = 64 << 10

// ErrOldFence says that the engine has seen a larger fencing number.
var ErrOldFence = errors.New("the engine has seen a larger fencing number")

// OrderRefusedError is the answer of an engine that did not take an order.
type OrderRefusedError struct {
	Status int
	// Code is the code of the answer's JSON body, or empty.
	Code string
}

func (e *OrderRefusedError) Error() string {
	return fmt.Sprintf("order refused with status %d %s", e.Status, e.Code)
}

// ErrOrderNotSent says that no byte of the order left.
var ErrOrderNotSent = errors.New("order not sent")

// SendOrder gives an order to the engine at the address, once, on a connection
// of its own. No byte of it leaves after sendBy: a process that was frozen
// meanwhile finds the connection closed to writing, and what the kernel has not
// yet delivered by then is dropped with the connection.
//
// The error wraps ErrOldFence, ErrOrderNotSent or an *OrderRefusedError; any
// other leaves open whether the engine took the order.
func (c *Client) SendOrder(ctx context.Context, address string, order Order, sendBy time.Time) error {
	request, err := orderRequest(address, order)
	if err != nil {
		return fmt.Errorf("order to %s: %w: %w", address, ErrOrderNotSent, err)
	}
	ctx, cancel := context.WithDeadline(ctx, sendBy)
	defer cancel()
	dialer := net.Dialer{Timeout: c.config.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("order to %s: %w: %w", address, ErrOrderNotSent, err)
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Closing drops what is still to be sent.
		_ = tcp.SetLinger(0)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := roundTripOrder(ctx, conn, request, sendBy); err != nil {
		return fmt.Errorf("order to %s: %w", address, err)
	}
	return nil
}

// orderRequest returns the bytes of the request.
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

// roundTripOrder writes the request in one piece, if it is in time, and judges
// the answer. The context closes the connection when it ends.
func roundTripOrder(ctx context.Context, conn net.Conn, request []byte, sendBy time.Time) error {
	if ctx.Err() != nil || !time.Now().Before(sendBy) {
		return fmt.Errorf("%w: the time to send is over", ErrOrderNotSent)
	}
	if n, err := conn.Write(request); err != nil {
		if n == 0 {
			return fmt.Errorf("%w: %w", ErrOrderNotSent, err)
		}
		return err
	}
	limited := io.LimitReader(conn, maxOrderAnswerBytes)
	response, err := http.ReadResponse(bufio.NewReader(limited), &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return orderResult(response)
}

// orderResult judges the engine's answer.
func orderResult(response *http.Response) error {
	switch {
	case response.StatusCode < http.StatusMultipleChoices:
		return nil
	case response.StatusCode == http.StatusConflict:
		return ErrOldFence
	}
	var document struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	// An answer without such a body is a refusal without a code.
	_ = json.NewDecoder(response.Body).Decode(&document)
	return &OrderRefusedError{Status: response.StatusCode, Code: document.Error.Code}
}
