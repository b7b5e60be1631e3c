package endpoint_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/standin"
)

// BenchmarkCall compares calls through Client with the same requests made with
// net/http alone.
func BenchmarkCall(b *testing.B) {
	orders, err := standin.NewOrders(standin.OrdersConfig{Config: standin.Config{Endpoint: "o1", Service: "orders"}})
	if err != nil {
		b.Fatal(err)
	}
	defer orders.Close()
	client := endpoint.NewClient(endpoint.ClientConfig{})
	defer client.Close()
	call := endpoint.Call{
		RequestID: "r1", Address: orders.Addr(), Method: http.MethodPost, Path: "/bookings", Body: []byte(`{"order":"power"}`),
	}
	b.Run("net-http", func(b *testing.B) {
		for b.Loop() {
			response, err := http.Post("http://"+orders.Addr()+"/bookings", "application/json", strings.NewReader(`{"order":"power"}`))
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	})
	for _, idempotent := range []bool{true, false} {
		name := "fresh"
		if idempotent {
			name = "pooled"
		}
		call.Idempotent = idempotent
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, err := client.Do(b.Context(), call, &recorder{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
