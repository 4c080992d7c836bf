package rgmodel

import "github.com/juju/errors"

const (
	// MayHaveRun is the zero value, because it is the only verdict that is true without any knowledge.
	MayHaveRun Verdict = iota
	// NotRun is given only by a process that knows that the task was not started and never will be.
	NotRun
	// RanFailed means that the upstream gave a complete answer that reports a failure.
	RanFailed
	// RanOK means that the upstream gave a complete answer that reports success.
	RanOK
)

// Reasons that an Outcome may carry.
const (
	ReasonQueueFull        Reason = "queueFull"
	ReasonExpired          Reason = "expired"
	ReasonCancelled        Reason = "cancelled"
	ReasonStaleGeneration  Reason = "staleGeneration"
	ReasonDraining         Reason = "draining"
	ReasonQuota            Reason = "quota"
	ReasonAboveBurst       Reason = "aboveBurst"
	ReasonExpectedWait     Reason = "expectedWait"
	ReasonNeverRunnable    Reason = "neverRunnable"
	ReasonNoUpstream       Reason = "noUpstream"
	ReasonConnectionLost   Reason = "connectionLost"
	ReasonUpstreamStatus   Reason = "upstreamStatus"
	ReasonUpstreamRefused  Reason = "upstreamRefused"
	ReasonUpstreamTimeout  Reason = "upstreamTimeout"
	ReasonUpstreamUnreach  Reason = "upstreamUnreachable"
	ReasonAnswerTruncated  Reason = "answerTruncated"
	ReasonAnswerTooLarge   Reason = "answerTooLarge"
	ReasonAnswerMismatch   Reason = "answerMismatch"
	ReasonRecordLost       Reason = "recordLost"
	ReasonDigestMismatch   Reason = "digestMismatch"
	ReasonNotReady         Reason = "notReady"
	ReasonSidecarLost      Reason = "sidecarLost"
	ReasonDeadlineExceeded Reason = "deadlineExceeded"
	ReasonRetryBudget      Reason = "retryBudget"
	// ReasonResultDropped goes with RanOK: the task ran, and its result is no longer kept.
	ReasonResultDropped Reason = "resultDropped"
)

type (
	// Verdict says whether a request may have run.
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

// MarshalText writes the name that the API uses.
func (vd Verdict) MarshalText() ([]byte, error) {
	return []byte(vd.String()), nil
}

// UnmarshalText reads the name that the API uses and fails with errors.NotValid on any other text.
func (vd *Verdict) UnmarshalText(txt []byte) error {
	for val, name := range verdictNames {
		if name == string(txt) {
			*vd = val
			return nil
		}
	}
	return errors.NotValidf("verdict %q", txt)
}
