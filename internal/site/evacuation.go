package site

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"oleanderramp/internal/event"
	"oleanderramp/internal/httpserver"
	"oleanderramp/internal/wire"
)

// evacuateTimeout bounds an order to evacuate a zone. Operators resend an order for 5 s,
// so that a host without a quorum must refuse it early enough for another one.
const evacuateTimeout = 2 * time.Second

// Evacuate begins or ends the evacuation of a zone. The order is based on the state that
// is read first: if another order on the zone is accepted in between, it is refused.
func (c *control) Evacuate(ctx context.Context, zone string, evacuated bool) error {
	if !c.settings.HasZone(zone) {
		return ErrUnknownZone
	}
	ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
	defer cancel()
	if err := c.checkEvacuable(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	c.quorum.PreferLeader(c.replica.Status().Leader().Host)
	read, err := c.quorum.Query(ctx, &wire.QueryRequest{Body: &wire.QueryRequest_Evacuation{Evacuation: &wire.EvacuationQuery{}}})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	return c.proposeEvacuation(ctx, &wire.SetEvacuation{
		Zone: zone, Evacuated: evacuated, BaseRevision: read.GetEvacuation().GetRevision(),
	})
}

// checkEvacuable waits until the quorum has enough voters, and returns an error if one
// of its members runs a former version: that would leave out the order when it saves its
// state.
func (c *control) checkEvacuable(ctx context.Context) error {
	if err := c.waitForVoters(ctx); err != nil {
		return err
	}
	if host, former := c.formerMember(func(known capabilities) bool { return known.evacuations }); former {
		return fmt.Errorf("the control host %s runs a version that knows no evacuations", host)
	}
	return nil
}

// errCallerDisconnected is returned instead of proposing the order of an operator who no
// longer waits for it.
var errCallerDisconnected = errors.New("the operator has disconnected")

// proposeEvacuation commits the order. It does not propose one whose operator has
// disconnected: this process may have been paused, and the operator sent another order.
func (c *control) proposeEvacuation(ctx context.Context, order *wire.SetEvacuation) error {
	if ctx.Err() != nil || httpserver.CallerDisconnected(ctx) {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, errCallerDisconnected)
	}
	result, err := c.quorum.Execute(ctx, &wire.Command{Body: &wire.Command_SetEvacuation{SetEvacuation: order}})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	if refused := result.GetError(); refused != nil {
		return fmt.Errorf("%s: %s", refused.GetCode(), refused.GetMessage())
	}
	return nil
}

// addEvacuation adds the evacuated zones, for a router.
func (c *control) addEvacuation(request *wire.SyncRequest, response *wire.SyncResponse) {
	if evacuation := c.store.Evacuation(); evacuation != nil && request.GetControl() == nil {
		response.Evacuation = &wire.EvacuationState{Revision: evacuation.GetRevision(), Zones: evacuation.GetZones()}
	}
}

// evacuation is the evacuated zones as known to a router.
type evacuation struct {
	revision uint64
	zones    []string
}

// evacuatedZones returns the number of evacuated zones.
func (r *router) evacuatedZones() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.evacuation.zones)
}

// adoptEvacuation puts the evacuations of a response in force if they are newer.
func (r *router) adoptEvacuation(now time.Time, received *wire.EvacuationState, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.evacuation
	if received.GetRevision() <= before.revision {
		return
	}
	r.evacuation = evacuation{revision: received.GetRevision(), zones: received.GetZones()}
	r.evacuatedHere.Store(slices.ContainsFunc(r.evacuation.zones, func(zone string) bool {
		return r.settings.RegionOf(zone) == r.settings.Region
	}))
	r.admission.SetEvacuated(now, r.evacuation.zones)
	event.EvacuationInForce.Log(r.log, event.Fields{
		"revision": r.evacuation.revision, "before": before.revision, "zones": r.evacuation.zones, "peer": host,
	})
}
