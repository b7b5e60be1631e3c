package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"oleanderramp/internal/wire"
	"oleanderramp/pkg/client"
)

// stateExpired is the state of an endpoint whose lease has ended.
const stateExpired = "expired"

func (h *handler) status(r *http.Request, _ string) (any, error) {
	return h.fleet.Status(r.Context())
}

func (h *handler) accounts(r *http.Request, _ string) (any, error) {
	return nonNilList(h.fleet.Accounts(r.Context()))
}

func (h *handler) endpoints(r *http.Request, _ string) (any, error) {
	endpoints, err := h.fleet.Endpoints(r.Context())
	return nonNilList(latestEndpoints(endpoints), err)
}

// latestEndpoints keeps one entry for each endpoint: that of the latest
// incarnation, and among several of the same incarnation one that has not
// expired. Duplicates occur because a former scheduler continues to report
// endpoints that no longer announce themselves to it.
func latestEndpoints(endpoints []client.EndpointStatus) []client.EndpointStatus {
	type key struct{ service, name string }
	index := make(map[key]int)
	var latest []client.EndpointStatus
	for _, e := range endpoints {
		k := key{service: e.Service, name: e.Name}
		i, known := index[k]
		if !known {
			index[k] = len(latest)
			latest = append(latest, e)
			continue
		}
		kept := latest[i]
		sameIncarnation := e.Incarnation == kept.Incarnation
		if e.Incarnation > kept.Incarnation || sameIncarnation && kept.State == stateExpired {
			latest[i] = e
		}
	}
	return latest
}

func (h *handler) replicas(r *http.Request, _ string) (any, error) {
	return nonNilList(h.fleet.Replicas(r.Context()))
}

// nonNilList replaces a nil slice with an empty one, so that it is encoded as
// an empty JSON array instead of null.
func nonNilList[T any](items []T, err error) (any, error) {
	if items == nil {
		items = []T{}
	}
	return items, err
}

func (h *handler) drain(r *http.Request, operator string) (any, error) {
	return nil, h.setDrained(r, operator, true)
}

func (h *handler) undrain(r *http.Request, operator string) (any, error) {
	return nil, h.setDrained(r, operator, false)
}

func (h *handler) setDrained(r *http.Request, operator string, drained bool) error {
	result, err := h.quorum.Execute(r.Context(), &wire.Command{Body: &wire.Command_DrainEndpoint{
		DrainEndpoint: &wire.DrainEndpoint{
			Operator: operator,
			Service:  r.PathValue("service"),
			Endpoint: r.PathValue("name"),
			Drained:  drained,
		},
	}})
	if err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	return resultError(result)
}

func (h *handler) addReplica(r *http.Request, _ string) (any, error) {
	var request client.ReplicaRequest
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return nil, bodyError(err)
	}
	if request.Host == "" {
		return nil, badRequestf("host: must not be empty")
	}
	return nil, h.fleet.AddReplica(r.Context(), request.Host)
}

func (h *handler) removeReplica(r *http.Request, _ string) (any, error) {
	return nil, h.fleet.RemoveReplica(r.Context(), r.PathValue("id"))
}

// bodyError returns the error for a request body that can't be read.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return err
	}
	return badRequestf("read body: %v", err)
}
