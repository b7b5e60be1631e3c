package standin

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/dghubble/sling"

	"oleanderramp/internal/endpoint"
)

// announceTimeout is the timeout of one announcement request to one daemon.
const announceTimeout = time.Second

// announcer renews the endpoint's lease with the daemons by periodic
// announcements.
type announcer struct {
	config Config
	// document returns the announcement without Sequence and Leaving.
	document func() endpoint.AnnouncementDocument
	http     *http.Client
	// wake triggers an announcement before the next tick.
	wake chan struct{}
	stop context.CancelFunc
	done sync.WaitGroup

	mu      sync.Mutex
	leaving bool
	// sequence is the sequence number of the last announcement.
	sequence uint64
	// next, modulo the length of config.AnnounceTo, is the index of the daemon
	// to try first.
	next int
}

func newAnnouncer(config Config, document func() endpoint.AnnouncementDocument) *announcer {
	ctx, stop := context.WithCancel(context.Background())
	a := &announcer{
		config:   config,
		document: document,
		http:     &http.Client{Timeout: announceTimeout, Transport: &http.Transport{Proxy: nil}},
		wake:     make(chan struct{}, 1),
		stop:     stop,
	}
	if len(config.AnnounceTo) == 0 {
		return a
	}
	a.done.Go(func() {
		ticker := time.NewTicker(config.AnnounceInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			a.announce(ctx)
			select {
			case <-ticker.C:
			case <-a.wake:
			case <-ctx.Done():
			}
		}
	})
	return a
}

// close stops the announcements and waits for the goroutine to end.
func (a *announcer) close() {
	a.stop()
	a.done.Wait()
	a.http.CloseIdleConnections()
}

// leave marks this and all later announcements as leaving, and sends one at
// once.
func (a *announcer) leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *announcer) isLeaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}

// announce tries each daemon at most once, until one accepts the announcement.
func (a *announcer) announce(ctx context.Context) {
	document := a.document()
	a.mu.Lock()
	a.sequence++
	document.Sequence = a.sequence
	document.Leaving = a.leaving
	a.mu.Unlock()
	for range a.config.AnnounceTo {
		target := a.config.AnnounceTo[a.next%len(a.config.AnnounceTo)]
		err := a.post(ctx, target, document)
		if err == nil || ctx.Err() != nil {
			return
		}
		a.config.Log.WithFields(log.Fields{"daemon": target, "error": err.Error()}).Warn("announcement failed")
		a.next++
	}
}

func (a *announcer) post(ctx context.Context, target string, document endpoint.AnnouncementDocument) error {
	url := strings.TrimSuffix(target, "/") + "/v1/announcements"
	request, err := sling.New().Post(url).BodyJSON(document).Request()
	if err != nil {
		return err
	}
	var refused errorDocument
	response, err := sling.New().Client(a.http).Do(request.WithContext(ctx), nil, &refused)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("refused with status %d: %s: %s %v", response.StatusCode,
			refused.Error.Code, refused.Error.Message, refused.Error.Findings)
	}
	return nil
}
