package client

import "time"

// FleetStatus is the state of the fleet as one daemon sees it.
type FleetStatus struct {
	// Observer is the host of the reporting daemon.
	Observer string         `json:"observer"`
	At       time.Time      `json:"at"`
	Daemons  []DaemonStatus `json:"daemons"`
	Quorum   QuorumStatus   `json:"quorum"`
}

// DaemonStatus is the state of one daemon as the observer sees it.
type DaemonStatus struct {
	Host        string   `json:"host"`
	Region      string   `json:"region"`
	Zone        string   `json:"zone"`
	Roles       []string `json:"roles"`
	Incarnation uint64   `json:"incarnation"`
	Alive       bool     `json:"alive"`
	Draining    bool     `json:"draining"`
	// BundleVersion is the version that the daemon uses; 0 for none.
	BundleVersion uint64    `json:"bundle_version"`
	LastSeen      time.Time `json:"last_seen"`
}

// QuorumStatus is the state of the replicated log.
type QuorumStatus struct {
	// Leader is the host of the leader; empty when unknown.
	Leader   string          `json:"leader"`
	Term     uint64          `json:"term"`
	Replicas []ReplicaStatus `json:"replicas"`
	// RepairNote describes what may be lost if another host fails now; empty
	// when the loss of one host loses nothing.
	RepairNote string `json:"repair_note,omitempty"`
}

// ReplicaStatus is one member of the quorum.
type ReplicaStatus struct {
	// ID identifies the replica's data folder. It is not reused when the disk
	// is lost.
	ID   string `json:"id"`
	Host string `json:"host"`
	// Voter is false for a learner.
	Voter bool `json:"voter"`
	// CaughtUp is true if the replica holds the complete state.
	CaughtUp bool `json:"caught_up"`
	Leader   bool `json:"leader"`
	// MatchIndex is the index of the last log entry that the leader knows the
	// replica to hold.
	MatchIndex uint64 `json:"match_index"`
}

// AccountStatus is the amount of service that a client account has received.
type AccountStatus struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Share   int    `json:"share"`
	// Received is the weighted service received, in the service's cost unit.
	Received float64 `json:"received"`
	// Waiting is the number of the account's queued requests.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// Gap is how far the account's received service, divided by its share, is
	// behind that of the backlogged account that is furthest ahead; 0 when the
	// account has no backlog.
	Gap float64 `json:"gap"`
}

// EndpointStatus is the state of one endpoint as the observer sees it.
type EndpointStatus struct {
	Service       string   `json:"service"`
	Name          string   `json:"name"`
	Incarnation   uint64   `json:"incarnation"`
	Region        string   `json:"region"`
	Zone          string   `json:"zone"`
	Address       string   `json:"address"`
	Slots         int      `json:"slots"`
	Running       int      `json:"running"`
	Models        []string `json:"models,omitempty"`
	ChecksFencing bool     `json:"checks_fencing"`
	// State is available, leaving, drained or expired.
	State    string    `json:"state"`
	LastSeen time.Time `json:"last_seen"`
}

// Stages of a bundle.
const (
	StageProposed   = "proposed"
	StageSignedOff  = "signed_off"
	StageAccepted   = "accepted"
	StageSuperseded = "superseded"
	StageWithdrawn  = "withdrawn"
)

// BundleStatus is the stage of a bundle and who moved it there.
type BundleStatus struct {
	// Version is the accepted version, or the one that a proposal will get.
	Version uint64 `json:"version"`
	Parent  uint64 `json:"parent"`
	// Digest is the hex digest of the document.
	Digest      string `json:"digest"`
	Stage       string `json:"stage"`
	ProposedBy  string `json:"proposed_by,omitempty"`
	SignedOffBy string `json:"signed_off_by,omitempty"`
	AcceptedBy  string `json:"accepted_by,omitempty"`
	WithdrawnBy string `json:"withdrawn_by,omitempty"`
}

// AuditEntry records one action of an operator.
type AuditEntry struct {
	Index    uint64    `json:"index"`
	At       time.Time `json:"at"`
	Operator string    `json:"operator"`
	Act      string    `json:"act"`
	Subject  string    `json:"subject"`
	Result   string    `json:"result"`
}
