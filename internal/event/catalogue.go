package event

import (
	"slices"

	"github.com/apex/log"
)

// Daemon start and stop.
var (
	DaemonStarted      = define(100, log.InfoLevel, "daemon started")
	DaemonDraining     = define(102, log.InfoLevel, "daemon draining")
	DaemonStopped      = define(103, log.InfoLevel, "daemon stopped")
	RequestsAborted    = define(104, log.ErrorLevel, "requests aborted at shutdown")
	DaemonFailed       = define(106, log.ErrorLevel, "daemon failed")
	ListenerOpened     = define(107, log.InfoLevel, "listener opened")
	SettingsReloaded   = define(108, log.InfoLevel, "settings reloaded")
	SettingsUnreadable = define(109, log.ErrorLevel, "settings can't be reloaded")
	LogLinesDropped    = define(110, log.WarnLevel, "log lines dropped")
)

// Callers' requests.
var (
	RequestReceived    = define(200, log.DebugLevel, "request received")
	RequestAnswered    = define(201, log.InfoLevel, "request answered")
	RequestRefused     = define(202, log.InfoLevel, "request refused, not run")
	RequestFailed      = define(203, log.WarnLevel, "request failed")
	OutcomeUnknown     = define(204, log.WarnLevel, "request outcome unknown")
	CallAbandoned      = define(205, log.InfoLevel, "call abandoned by caller")
	AnswerReplayed     = define(206, log.InfoLevel, "saved answer returned")
	RecordUnknown      = define(207, log.WarnLevel, "record became unknown")
	OutcomeUncommitted = define(208, log.ErrorLevel, "outcome not committed")
)

// Scheduling and placement decisions.
var (
	RequestRouted     = define(300, log.InfoLevel, "request routed")
	GrantRefused      = define(302, log.InfoLevel, "grant refused")
	RequestRetried    = define(303, log.InfoLevel, "request retried")
	SlotsLent         = define(304, log.InfoLevel, "slots lent to another region")
	SlotsReturned     = define(305, log.InfoLevel, "slots returned by another region")
	SchedulerChanged  = define(306, log.WarnLevel, "scheduler changed")
	SchedulerRebuilt  = define(307, log.InfoLevel, "scheduler state rebuilt")
	RetryBudgetSpent  = define(308, log.WarnLevel, "retry budget of account spent")
	SlotGranted       = define(310, log.InfoLevel, "slot granted")
	SlotKept          = define(312, log.InfoLevel, "slot kept without scheduler")
	SchedulerLinkLost = define(311, log.WarnLevel, "link to scheduler lost")
)

// Endpoints.
var (
	EndpointAnnounced     = define(400, log.InfoLevel, "endpoint announced")
	EndpointLeft          = define(401, log.InfoLevel, "endpoint left")
	EndpointExpired       = define(402, log.WarnLevel, "endpoint lease expired")
	EndpointDrained       = define(403, log.InfoLevel, "endpoint drained")
	ConnectionSilent      = define(405, log.WarnLevel, "connection silent")
	EndpointCrashed       = define(406, log.ErrorLevel, "endpoint crashed")
	RequestSuspected      = define(407, log.WarnLevel, "request suspected of a crash")
	RequestCleared        = define(408, log.InfoLevel, "suspected request cleared")
	RequestQuarantined    = define(409, log.ErrorLevel, "request quarantined")
	AnswerTruncated       = define(410, log.WarnLevel, "answer truncated by endpoint")
	AnswerMismatched      = define(411, log.ErrorLevel, "answer belongs to another request")
	AnnouncementRefused   = define(412, log.WarnLevel, "announcement refused")
	EndpointsRestored     = define(414, log.InfoLevel, "saved endpoints restored")
	EndpointsFileFailed   = define(415, log.WarnLevel, "saved endpoints could not be written or read")
	PartQuarantined       = define(416, log.ErrorLevel, "prompt part quarantined")
	EndpointNotice        = define(417, log.InfoLevel, "endpoint wants no requests")
	StreamSought          = define(419, log.InfoLevel, "origin of a stream sought")
	EndpointRateLimit     = define(418, log.InfoLevel, "endpoint states another rate limit")
	EndpointSilent        = define(420, log.InfoLevel, "endpoint silent")
	EndpointSpeed         = define(435, log.InfoLevel, "endpoint speed changed")
	SoftwareUnrecorded    = define(436, log.WarnLevel, "software version not recorded")
	HedgeSettled          = define(421, log.InfoLevel, "hedged request settled")
	EndpointCold          = define(430, log.InfoLevel, "endpoint turned cold")
	AccountRefused        = define(422, log.InfoLevel, "requests of an account refused")
	RegionsUnknown        = define(423, log.WarnLevel, "allowed regions unknown")
	EvacuationOrdered     = define(424, log.InfoLevel, "evacuation of a zone ordered")
	EvacuationRefused     = define(425, log.WarnLevel, "order on an evacuation refused")
	EvacuationInForce     = define(426, log.InfoLevel, "evacuated zones in force")
	UnconfirmedTable      = define(455, log.WarnLevel, "routing table given out unconfirmed")
	LeavingChanged        = define(450, log.InfoLevel, "fraction of requests that leave the zone changed")
	CapacityScarce        = define(440, log.InfoLevel, "capacity scarce")
	QuarantineUnpublished = define(413, log.WarnLevel, "quarantine not published")

	ClientRejectedForMemory = define(445, log.WarnLevel, "client rejected, memory for clients in use")
	ClientEvicted           = define(446, log.WarnLevel, "client evicted, memory for clients in use")
	ClientStalled           = define(447, log.InfoLevel, "client ended, no progress")
	HeaderOverBounds        = define(448, log.WarnLevel, "header rejected, over its bounds")
	DocumentOverBounds      = define(449, log.WarnLevel, "document rejected, over its bounds")
)

// Quorum and configuration bundles.
var (
	LeaderChanged        = define(500, log.InfoLevel, "leader changed")
	QuorumLost           = define(501, log.ErrorLevel, "quorum lost")
	BundleInForce        = define(506, log.InfoLevel, "bundle in force")
	BundleStale          = define(507, log.ErrorLevel, "bundle stale")
	ReplicaAdded         = define(508, log.InfoLevel, "replica added")
	ReplicaRemoved       = define(509, log.InfoLevel, "replica removed")
	ReplicaCaughtUp      = define(510, log.InfoLevel, "replica caught up")
	DataFolderDamaged    = define(514, log.ErrorLevel, "data folder damaged")
	BundleRefused        = define(517, log.ErrorLevel, "bundle from quorum refused")
	QuorumChangeFailed   = define(518, log.WarnLevel, "change of the quorum failed")
	RoutingAccepted      = define(519, log.InfoLevel, "routing table accepted")
	RoutingRefused       = define(520, log.WarnLevel, "order on the routing table refused")
	RoutingInForce       = define(521, log.InfoLevel, "routing table in force")
	RoutingUnreadable    = define(522, log.ErrorLevel, "routing table unreadable")
	LoadUnreadable       = define(525, log.ErrorLevel, "load of other routers unreadable")
	DamagedFilesSetAside = define(523, log.ErrorLevel, "damaged files set aside")
	ReplicaSuspended     = define(526, log.ErrorLevel, "replica suspended, disk full")
	ReplicaResumed       = define(527, log.InfoLevel, "replica resumed")
)

// Membership.
var (
	PeerUp         = define(600, log.InfoLevel, "peer up")
	PeerDown       = define(601, log.WarnLevel, "peer down")
	PeerRestarted  = define(602, log.InfoLevel, "peer restarted")
	PrimaryChanged = define(603, log.InfoLevel, "primary control host changed")
)

// Operators.
var (
	OperatorActed   = define(700, log.InfoLevel, "operator acted")
	OperatorRefused = define(701, log.WarnLevel, "operator refused")
)

// Placement leases and orders to engines.
var (
	OrderGiven             = define(800, log.InfoLevel, "order given to engine")
	OrderRefused           = define(801, log.WarnLevel, "order refused by engine")
	OrderDelayed           = define(802, log.InfoLevel, "order delayed by weight store rate")
	PlacementLeaseAcquired = define(803, log.InfoLevel, "placement lease acquired")
	PlacementLeaseLost     = define(804, log.WarnLevel, "placement lease lost")
	OrderWithheld          = define(805, log.InfoLevel, "order withheld until the former lease has ended")
	OrderIncomplete        = define(806, log.WarnLevel, "order not completed in time")
)

// allEvents holds each event once, in the order of definition.
var allEvents []Event

// define returns a new event and adds it to allEvents.
func define(number Number, level log.Level, message string) Event {
	e := Event{number: number, level: level, message: message}
	allEvents = append(allEvents, e)
	return e
}

// All returns every event, sorted by number.
func All() []Event {
	return slices.SortedFunc(slices.Values(allEvents), func(a, b Event) int {
		return int(a.number) - int(b.number)
	})
}
