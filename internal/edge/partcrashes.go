package edge

import (
	"encoding/binary"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/event"
	"oleanderramp/internal/quarantine"
)

// answerProof is how long an answer must have been arriving for the request not to be
// a suspect when its endpoint crashes: a request that crashes endpoints does so as its
// answer begins.
const answerProof = 500 * time.Millisecond

// NewParts returns the evidence about the prompt parts of a site, without any. A
// router sends a probe probeDelay after the end of a quarantine.
func NewParts(probeDelay time.Duration) *quarantine.Parts {
	return quarantine.NewParts(quarantine.PartsConfig{SuspectTime: suspectTime, QuarantineTime: quarantineTime, ProbeDelay: probeDelay})
}

// endpointRun is a request that ran on an endpoint.
type endpointRun struct {
	digest quarantine.Digest
	// parts are the digests of the prompt parts that other requests may share.
	parts  []quarantine.Digest
	sentAt time.Time
}

// run returns the run of the task at an endpoint that it was sent to then.
func (t *task) run(sentAt time.Time) endpointRun {
	return endpointRun{digest: t.digest(), parts: t.partDigests(), sentAt: sentAt}
}

// partDigests returns the digests of the prompt parts that other requests may share:
// all but the last.
func (t *task) partDigests() []quarantine.Digest {
	parts := t.request.Prompt.Parts
	if len(parts) < 2 {
		return nil
	}
	digests := make([]quarantine.Digest, len(parts)-1)
	for i := range digests {
		digests[i] = quarantine.NewPartDigest(t.service, parts[i].ID)
	}
	return digests
}

// crashID identifies the crash of an endpoint: all routers give it the same number.
func crashID(endpoint directory.Entry) uint64 {
	started := binary.BigEndian.AppendUint64(nil, uint64(endpoint.Started.UnixMilli()))
	return max(xxhash.Sum64(append(started, endpoint.ID...)), 1) // 0 stands for an answer.
}

// recordPartCrash adds the crash that ended the runs to the evidence about their
// prompt parts. c.mu is held.
func (c *crashTracker) recordPartCrash(now time.Time, lost *lostConnections) {
	id := crashID(lost.endpoint)
	for _, run := range lost.runs {
		for _, part := range run.parts {
			c.addPartReport(now, quarantine.PartReport{Part: part, Crash: id, SentAt: run.sentAt, At: lost.since})
		}
	}
}

// recordPartsAnswered adds an answer to the evidence about the prompt parts. c.mu is
// held.
func (c *crashTracker) recordPartsAnswered(now time.Time, parts []quarantine.Digest) {
	for _, part := range parts {
		c.addPartReport(now, quarantine.PartReport{Part: part, At: now})
	}
}

// addPartReport adds evidence about a prompt part. c.mu is held.
func (c *crashTracker) addPartReport(now time.Time, report quarantine.PartReport) {
	if c.parts.Add(now, report) {
		verdict := c.parts.StatusOf(now, report.Part)
		event.PartQuarantined.Log(c.log, event.Fields{"part": report.Part.String(), "until": now.Add(verdict.RetryAfter)})
	}
}

// partsVerdict returns how to handle a request with the prompt parts. The digests are
// computed only while any part is suspected. If the request is let through as the
// probe of a part, further requests with it are refused until its end is known.
func (c *crashTracker) partsVerdict(now time.Time, digests func() []quarantine.Digest) quarantine.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.parts.Len() == 0 {
		return quarantine.Verdict{}
	}
	parts := digests()
	worst := quarantine.Verdict{}
	for _, part := range parts {
		verdict := c.parts.StatusOf(now, part)
		if verdict.Status > worst.Status || verdict.RetryAfter > worst.RetryAfter {
			worst = verdict
		}
	}
	if worst.Status == quarantine.Suspect {
		for _, part := range parts {
			c.parts.StartProbe(now, part)
		}
	}
	return worst
}

// checkParts refuses a request with a prompt part that is quarantined.
func (f *Forwarder) checkParts(t *task) *failure {
	verdict := f.crashes.partsVerdict(time.Now(), t.partDigests)
	if verdict.Status != quarantine.Quarantined {
		return nil
	}
	return &failure{
		status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, code: CodeQuarantined, retryAfter: verdict.RetryAfter,
		message: "a part of the prompt has crashed endpoints and is quarantined",
	}
}

// recordLost records that the connection of the call was lost. An answer that had been
// arriving for a while clears the request.
func (c *attemptCall) recordLost(now time.Time) {
	crashes := c.attempt.forwarder.crashes
	if !c.beganAt.IsZero() && now.Sub(c.beganAt) >= answerProof {
		crashes.recordAnswered(now, c.endpointRun)
		return
	}
	crashes.recordLostConnection(now, c.placement.choice.Endpoint, c.endpointRun())
}

// PartReports returns the evidence about prompt parts for the other routers.
func (f *Forwarder) PartReports(now time.Time) []quarantine.PartReport {
	f.crashes.mu.Lock()
	defer f.crashes.mu.Unlock()
	return f.crashes.parts.Reports(now, crashReportMaxAge)
}

// MergePartReports adds the evidence of other routers.
func (f *Forwarder) MergePartReports(now time.Time, reports []quarantine.PartReport) {
	f.crashes.mu.Lock()
	defer f.crashes.mu.Unlock()
	for _, report := range reports {
		f.crashes.addPartReport(now, report)
	}
}
