package rgmodel

import "github.com/juju/errors"

const (
	// MayHaveRun is the zero value, because it is the only verdict that holds when nothing is known of the task.
	MayHaveRun Verdict = iota
	// NotRun is given only by a process that knows that the task has not been started and never will be.
	NotRun
	// RanFailed means that the upstream answered completely and reported a failure.
	RanFailed
	// RanOK means that the upstream answered completely and reported success.
	RanOK
)

// Reasons of an Outcome.
const (
	ReasonQueueFull           Reason = "queueFull"
	ReasonExpired             Reason = "expired"
	ReasonCancelled           Reason = "cancelled"
	ReasonStaleGeneration     Reason = "staleGeneration"
	ReasonDraining            Reason = "draining"
	ReasonQuota               Reason = "quota"
	ReasonAboveBurst          Reason = "aboveBurst"
	ReasonExpectedWait        Reason = "expectedWait"
	ReasonNeverRunnable       Reason = "neverRunnable"
	ReasonNoUpstream          Reason = "noUpstream"
	ReasonConnectionLost      Reason = "connectionLost"
	ReasonUpstreamStatus      Reason = "upstreamStatus"
	ReasonUpstreamRefused     Reason = "upstreamRefused"
	ReasonUpstreamTimeout     Reason = "upstreamTimeout"
	ReasonUpstreamUnreachable Reason = "upstreamUnreachable"
	ReasonAnswerTruncated     Reason = "answerTruncated"
	ReasonAnswerTooLarge      Reason = "answerTooLarge"
	ReasonAnswerMismatch      Reason = "answerMismatch"
	ReasonRecordLost          Reason = "recordLost"
	ReasonDigestMismatch      Reason = "digestMismatch"
	ReasonNotReady            Reason = "notReady"
	ReasonSidecarLost         Reason = "sidecarLost"
	ReasonDeadlineExceeded    Reason = "deadlineExceeded"
	ReasonRetryBudget         Reason = "retryBudget"
	// ReasonResultDropped accompanies RanOK: the task succeeded, but its result is no longer kept.
	ReasonResultDropped Reason = "resultDropped"
)

type (
	// Verdict states whether a task has run.
	Verdict uint8

	// Reason is the machine-readable cause of a verdict.
	Reason string
)

var verdictNames = map[Verdict]string{
	MayHaveRun: "mayHaveRun",
	NotRun:     "notRun",
	RanFailed:  "ranFailed",
	RanOK:      "ranOK",
}

// String returns the name that the API uses.
func (vd Verdict) String() string {
	return verdictNames[vd]
}

// MarshalText returns the name that the API uses.
func (vd Verdict) MarshalText() ([]byte, error) {
	return []byte(vd.String()), nil
}

// UnmarshalText parses the name that the API uses and fails with errors.NotValid on any other text.
func (vd *Verdict) UnmarshalText(txt []byte) error {
	for val, name := range verdictNames {
		if name == string(txt) {
			*vd = val
			return nil
		}
	}
	return errors.NotValidf("verdict %q", txt)
}
