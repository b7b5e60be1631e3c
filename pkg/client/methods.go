package client

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
)

// Bundle is a bundle with its document.
type Bundle struct {
	BundleStatus
	Document json.RawMessage `json:"document"`
}

// Propose proposes a bundle document. Proposing the same document again returns
// the status of the first proposal; another document with the same parent is a
// conflict.
func (c *Client) Propose(ctx context.Context, document []byte) (BundleStatus, error) {
	var status BundleStatus
	err := c.postDocument(ctx, "v1/bundles", document, &status)
	return status, err
}

// SignOff signs off the proposed bundle with the hex digest.
func (c *Client) SignOff(ctx context.Context, digest string) (BundleStatus, error) {
	return c.postBundleAction(ctx, digest, "sign-off")
}

// Accept accepts the signed-off bundle with the hex digest.
func (c *Client) Accept(ctx context.Context, digest string) (BundleStatus, error) {
	return c.postBundleAction(ctx, digest, "accept")
}

// Withdraw withdraws the open proposal with the hex digest, so that another
// one can be made.
func (c *Client) Withdraw(ctx context.Context, digest string) (BundleStatus, error) {
	return c.postBundleAction(ctx, digest, "withdraw")
}

func (c *Client) postBundleAction(ctx context.Context, digest, action string) (BundleStatus, error) {
	var status BundleStatus
	err := c.post(ctx, "v1/bundles/"+url.PathEscape(digest)+"/"+action, &status)
	return status, err
}

// Bundles returns the accepted bundle, if any, and the open proposals.
func (c *Client) Bundles(ctx context.Context) ([]BundleStatus, error) {
	var bundles []BundleStatus
	err := c.get(ctx, "v1/bundles", &bundles)
	return bundles, err
}

// Bundle returns the accepted bundle or an open proposal by its hex digest. The
// digest "accepted" selects the accepted bundle.
func (c *Client) Bundle(ctx context.Context, digest string) (Bundle, error) {
	var b Bundle
	err := c.get(ctx, "v1/bundles/"+url.PathEscape(digest), &b)
	return b, err
}

// Audit returns the latest entries of the audit log of operators' actions, the
// most recent last.
func (c *Client) Audit(ctx context.Context, limit int) ([]AuditEntry, error) {
	var entries []AuditEntry
	err := c.get(ctx, "v1/audit?limit="+strconv.Itoa(limit), &entries)
	return entries, err
}

// Endpoints returns the endpoints that the daemon knows.
func (c *Client) Endpoints(ctx context.Context) ([]EndpointStatus, error) {
	var endpoints []EndpointStatus
	err := c.get(ctx, "v1/endpoints", &endpoints)
	return endpoints, err
}

// Drain stops sending new requests to an endpoint.
func (c *Client) Drain(ctx context.Context, service, name string) error {
	return c.post(ctx, endpointPath(service, name)+"/drain", nil)
}

// Undrain lets an endpoint receive new requests again.
func (c *Client) Undrain(ctx context.Context, service, name string) error {
	return c.post(ctx, endpointPath(service, name)+"/undrain", nil)
}

func endpointPath(service, name string) string {
	return "v1/endpoints/" + url.PathEscape(service) + "/" + url.PathEscape(name)
}

// Accounts returns the amount of service that each client account has received.
func (c *Client) Accounts(ctx context.Context) ([]AccountStatus, error) {
	var accounts []AccountStatus
	err := c.get(ctx, "v1/accounts", &accounts)
	return accounts, err
}

// Fleet returns the state of the fleet as the daemon sees it.
func (c *Client) Fleet(ctx context.Context) (FleetStatus, error) {
	var status FleetStatus
	err := c.get(ctx, "v1/fleet", &status)
	return status, err
}

// Replicas returns the members of the quorum.
func (c *Client) Replicas(ctx context.Context) ([]ReplicaStatus, error) {
	var replicas []ReplicaStatus
	err := c.get(ctx, "v1/replicas", &replicas)
	return replicas, err
}

// ReplicaRequest is the JSON body of a request to add a host's replica to the
// quorum.
type ReplicaRequest struct {
	Host string `json:"host"`
}

// AddReplica adds the replica of a host to the quorum, initially as a learner.
func (c *Client) AddReplica(ctx context.Context, host string) error {
	request := c.request().Post("v1/replicas").BodyJSON(ReplicaRequest{Host: host})
	return c.call(ctx, request, nil)
}

// RemoveReplica removes the replica with the identity id from the quorum.
func (c *Client) RemoveReplica(ctx context.Context, id string) error {
	return c.call(ctx, c.request().Delete("v1/replicas/"+url.PathEscape(id)), nil)
}
