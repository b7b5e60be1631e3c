// Package settings defines the JSON settings of a daemon: its identity, roles,
// listeners, keys and limits.
package settings

import (
	"slices"

	"oleanderramp/internal/strictjson"
	"oleanderramp/pkg/finding"
)

// maxSettingsBytes bounds the JSON form of the settings.
const maxSettingsBytes = 1 << 20

// Role is a function that a daemon performs.
type Role string

// The roles.
const (
	RoleRouter    Role = "router"
	RoleScheduler Role = "scheduler"
	RoleReplica   Role = "replica"
	RolePlacement Role = "placement"
)

// Settings is the JSON form of a daemon's settings.
type Settings struct {
	// Host is the name of the daemon, unique in the fleet.
	Host   string `json:"host"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	Roles  []Role `json:"roles"`
	// DataFolder holds all durable files. Required for RoleReplica.
	DataFolder string `json:"data_folder,omitempty"`
	Listen     Listen `json:"listen"`
	// ControlHosts lists every daemon with the role scheduler, replica or
	// placement. It must be the same on all daemons.
	ControlHosts []ControlHost `json:"control_hosts"`
	// Operators lists the operators that may change the configuration.
	Operators []Operator `json:"operators"`
	TLS       TLS        `json:"tls"`
	Limits    Limits     `json:"limits"`
	Log       Log        `json:"log"`
}

// Listen holds the addresses to listen on, each "IP:port".
type Listen struct {
	Callers   string `json:"callers"`
	Endpoints string `json:"endpoints"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// ControlHost is a daemon that others connect to.
type ControlHost struct {
	Host   string `json:"host"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Address is the daemon's peer address, "IP:port".
	Address string `json:"address"`
	Roles   []Role `json:"roles"`
}

// Operator is a person or program that may change the configuration.
type Operator struct {
	Name string `json:"name"`
	// KeySHA256 is the hex SHA-256 of the operator's bearer key.
	KeySHA256 string `json:"key_sha256"`
}

// TLS holds the certificate of each listener. A listener without a certificate
// is allowed only if Plaintext is true, and then uses plain TCP.
type TLS struct {
	Plaintext bool     `json:"plaintext,omitempty"`
	Callers   *KeyPair `json:"callers,omitempty"`
	Endpoints *KeyPair `json:"endpoints,omitempty"`
	Operators *KeyPair `json:"operators,omitempty"`
	// Peers is used for incoming and outgoing connections; its CAFile must be
	// set.
	Peers *KeyPair `json:"peers,omitempty"`
}

// KeyPair holds the paths of the PEM files of a certificate.
type KeyPair struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile holds the certificate authorities, one of which must have signed
	// the remote side's certificate. If empty, the remote side needs no
	// certificate.
	CAFile string `json:"ca_file,omitempty"`
}

// Limits bounds the resources that callers, endpoints and peers can use in a
// daemon.
type Limits struct {
	MaxBodyBytes          int64 `json:"max_body_bytes,omitempty"`
	MaxAnswerBytes        int64 `json:"max_answer_bytes,omitempty"`
	MaxSavedAnswerBytes   int64 `json:"max_saved_answer_bytes,omitempty"`
	MaxHeaderBytes        int   `json:"max_header_bytes,omitempty"`
	MaxConnections        int   `json:"max_connections,omitempty"`
	MaxQueuedRequests     int   `json:"max_queued_requests,omitempty"`
	ReadHeaderTimeoutMS   int   `json:"read_header_timeout_ms,omitempty"`
	ReadBodyTimeoutMS     int   `json:"read_body_timeout_ms,omitempty"`
	WriteStallTimeoutMS   int   `json:"write_stall_timeout_ms,omitempty"`
	ShutdownTimeoutMS     int   `json:"shutdown_timeout_ms,omitempty"`
	CommitTimeoutMS       int   `json:"commit_timeout_ms,omitempty"`
	EndpointDialTimeoutMS int   `json:"endpoint_dial_timeout_ms,omitempty"`
	// MemoryMB is the memory of the process; 0 for a part of the machine's.
	MemoryMB        int `json:"memory_mb,omitempty"`
	MaxHeaderFields int `json:"max_header_fields,omitempty"`
	// MinBytesPerS is the minimum rate at which a client sends a body or reads an answer,
	// measured over BodyStallTimeoutMS or WriteStallTimeoutMS.
	MinBytesPerS       int64 `json:"min_bytes_per_s,omitempty"`
	BodyStallTimeoutMS int   `json:"body_stall_timeout_ms,omitempty"`
}

// Log holds the log settings.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level,omitempty"`
	// Format is json or text.
	Format string `json:"format,omitempty"`
}

// Defaults sets all unset fields to their defaults.
func (s *Settings) Defaults() {
	l := &s.Limits
	setDefault(&l.MaxBodyBytes, 4<<20)
	setDefault(&l.MaxAnswerBytes, 64<<20)
	setDefault(&l.MaxSavedAnswerBytes, 64<<10)
	setDefault(&l.MaxHeaderBytes, 32<<10)
	setDefault(&l.MaxConnections, 10_000)
	setDefault(&l.MaxQueuedRequests, 10_000)
	setDefault(&l.ReadHeaderTimeoutMS, 10_000)
	setDefault(&l.ReadBodyTimeoutMS, 60_000)
	setDefault(&l.WriteStallTimeoutMS, 60_000)
	setDefault(&l.ShutdownTimeoutMS, 600_000)
	setDefault(&l.CommitTimeoutMS, 3_000)
	setDefault(&l.EndpointDialTimeoutMS, 2_000)
	setDefault(&l.MaxHeaderFields, defaultMaxHeaderFields)
	setDefault(&l.MinBytesPerS, defaultMinBytesPerS)
	setDefault(&l.BodyStallTimeoutMS, 5_000)
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Log.Format, "json")
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// HasRole reports whether the daemon has the role.
func (s *Settings) HasRole(role Role) bool {
	return slices.Contains(s.Roles, role)
}

// Parse decodes and validates the JSON form of the settings and sets the
// defaults. The error is a *finding.Error with all problems found.
func Parse(data []byte) (*Settings, error) {
	settings := &Settings{}
	if err := parse(data, settings, func() bool { return settings.Host == "" && settings.Roles == nil }); err != nil {
		return nil, err
	}
	return settings, nil
}

// document is the JSON form of settings.
type document interface {
	Defaults()
	Validate(list *finding.List)
}

// parse decodes a document, sets its defaults and validates it. If decoding
// fails and empty reports that no field was set, the document is not validated,
// so that the findings contain only the decoding errors.
func parse(data []byte, d document, empty func() bool) error {
	var list finding.List
	strictjson.Decode(data, d, maxSettingsBytes, &list)
	if list.Len() > 0 && empty() {
		return list.Err()
	}
	d.Defaults()
	var invalid finding.List
	d.Validate(&invalid)
	list.AppendNew(&invalid)
	return list.Err()
}
