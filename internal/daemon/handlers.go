package daemon

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"oleanderramp/internal/caller"
	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/event"
	"oleanderramp/internal/operator"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/telemetry"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

// startHTTP opens the listeners for callers, endpoints and operators. The
// listeners for callers and operators also serve health, readiness and metrics.
func (d *Daemon) startHTTP() error {
	tls := d.settings.TLS
	if d.router != nil {
		callers := http.NewServeMux()
		telemetry.Handle(callers, d, d.registry)
		callers.Handle("/", d.callerHandler())
		var err error
		if d.callers, err = d.listen("callers", d.settings.Listen.Callers, tls.Callers, callers); err != nil {
			return err
		}
		if _, err = d.listen("endpoints", d.settings.Listen.Endpoints, tls.Endpoints, d.endpointHandler()); err != nil {
			return err
		}
	}
	operators := http.NewServeMux()
	telemetry.Handle(operators, d, d.registry)
	operators.Handle("/", d.operatorHandler())
	_, err := d.listen("operators", d.settings.Listen.Operators, tls.Operators, operators)
	return err
}

// listen opens a listener. It returns nil if the address is empty.
func (d *Daemon) listen(name, address string, pair *settings.KeyPair, handler http.Handler) (*httpServer, error) {
	if address == "" {
		return nil, nil
	}
	server, err := newHTTPServer(address, pair, d.settings.Limits, d.memory, handler)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	d.servers = append(d.servers, server)
	event.ListenerOpened.Log(d.log, event.Fields{"listener": name, "address": server.address()})
	return server, nil
}

func (d *Daemon) callerHandler() http.Handler {
	limits := d.settings.Limits
	return caller.New(caller.Config{
		Bundles: d.bundles, Router: d.router, Log: d.log, MaxBodyBytes: limits.MaxBodyBytes, Memory: d.memory,
		ReadBodyTimeout:   time.Duration(limits.ReadBodyTimeoutMS) * time.Millisecond,
		WriteStallTimeout: time.Duration(limits.WriteStallTimeoutMS) * time.Millisecond,
	})
}

func (d *Daemon) endpointHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/announcements", endpoint.NewAnnouncements(d.announce, endpoint.AnnouncementLimits{}))
	return d.memory.Bodies(mux)
}

// errNotDelivered is returned for an announcement that the dispatcher did not
// accept. The endpoint gets a response with status 503 and can announce itself
// to another daemon.
var errNotDelivered = errors.New("the daemon is shutting down")

// announce forwards an endpoint's announcement to the dispatcher.
func (d *Daemon) announce(a *wire.Announcement) error {
	current := d.bundles.Current()
	if current == nil {
		return errors.New("the daemon holds no configuration bundle yet")
	}
	if _, ok := current.Service(a.GetService()); !ok {
		event.AnnouncementRefused.Log(d.log, event.Fields{"endpoint": a.GetEndpoint(), "service": a.GetService(), "reason": "unknown service"})
		return &endpoint.RefusedError{Code: "unknown_service", Message: "no service is called " + a.GetService()}
	}
	if !d.dispatcher.Announce(a) {
		return errNotDelivered
	}
	return nil
}

func (d *Daemon) operatorHandler() http.Handler {
	return d.memory.Bodies(operator.New(operator.Config{
		Operators: d.settings.Operators, Quorum: d.quorum, Log: d.log, MaxBodyBytes: d.settings.Limits.MaxBodyBytes,
		Fleet:       d.newFleet(),
		ParseBundle: bundle.Parse,
	}))
}
