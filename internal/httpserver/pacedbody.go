package httpserver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"oleanderramp/internal/membudget"
	"oleanderramp/internal/memgate"
)

// pacedBody is a request body that must arrive at a minimum pace.
type pacedBody struct {
	io.ReadCloser
	clients  *Clients
	control  *http.ResponseController
	remote   string
	progress membudget.Progress
	// ended is true once nothing more is read.
	ended bool
}

func (b *pacedBody) start(now time.Time) {
	b.progress = membudget.NewProgress(now, b.clients.Body)
	b.setDeadline(b.progress.Deadline())
}

func (b *pacedBody) setDeadline(at time.Time) {
	_ = b.control.SetReadDeadline(at) // On a closed connection the next read fails.
}

// Read reads from the body. At its end the deadline is removed, as the server continues
// to read to detect that the connection was closed.
func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case b.ended:
	case errors.Is(err, io.EOF):
		b.ended = true
		b.setDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.ended = true
		if !time.Now().Before(b.progress.Deadline()) { // Otherwise others have ended it.
			b.clients.Gate.Ended(memgate.Stalled, Host(b.remote), membudget.Body)
		}
	case err == nil && b.progress.Add(time.Now(), n):
		b.setDeadline(b.progress.Deadline())
	}
	return n, err
}
