package rgmodel

import "github.com/juju/errors"

const (
	// MayHaveRun is the zero value, because it is the only verdict that holds when nothing is known of the task.
	MayHaveRun Verdict = iota
	// NotRun is given only by a process that knows that the task has not been started and never will be.
	NotRun
	// RanFailed means that the upstream replied completely and reported a failure.
	RanFailed
	// RanOK means that the upstream replied completely and reported success.
	RanOK
)

// Reasons of an Outcome.
const (
	ReasonQueueFull Reason = "queueFull"
	// ReasonExpired is given for a task that was not started because it could not end before its deadline, or because its
	// placement was too old on arrival or arrived over a closed connection.
	ReasonExpired         Reason = "expired"
	ReasonCancelled       Reason = "cancelled"
	ReasonStaleGeneration Reason = "staleGeneration"
	ReasonDraining        Reason = "draining"
	ReasonQuota           Reason = "quota"
	ReasonAboveBurst      Reason = "aboveBurst"
	ReasonExpectedWait    Reason = "expectedWait"
	// ReasonPlaceWait is given for a task that was not started because its wait for a preferred place no longer pays.
	ReasonPlaceWait Reason = "placeWait"
	// ReasonNeverRunnable is given if no upstream that the deciding process knows meets the requirements of the job, or if the
	// job or its route uses an unsupported feature.
	ReasonNeverRunnable Reason = "neverRunnable"
	// ReasonNoUpstream is given if no upstream can take the task now; one may be able to later.
	ReasonNoUpstream Reason = "noUpstream"
	// ReasonZoneEvacuated is given if only executors in evacuated availability zones could take the task, and by a sidecar for a task that
	// it does not start because its executor's zone is evacuated.
	ReasonZoneEvacuated  Reason = "zoneEvacuated"
	ReasonConnectionLost Reason = "connectionLost"
	// ReasonCallerLeft is given if the caller had left before a task of its job was placed.
	ReasonCallerLeft Reason = "callerLeft"
	// ReasonUpstreamStatus is given if the upstream failed the task: by a status that is neither 2xx nor 4xx, by a reply that
	// is not JSON, or by the failed end of a run. It is also given for queued tasks that are returned after such failures.
	ReasonUpstreamStatus Reason = "upstreamStatus"
	// ReasonUpstreamRefused is given if the upstream rejected the request with a 4xx status, or if an executor refused an order.
	ReasonUpstreamRefused     Reason = "upstreamRefused"
	ReasonUpstreamTimeout     Reason = "upstreamTimeout"
	ReasonUpstreamUnreachable Reason = "upstreamUnreachable"
	ReasonAnswerTruncated     Reason = "answerTruncated"
	ReasonAnswerTooLarge      Reason = "answerTooLarge"
	ReasonAnswerMismatch      Reason = "answerMismatch"
	ReasonRecordLost          Reason = "recordLost"
	ReasonDigestMismatch      Reason = "digestMismatch"
	// ReasonNotReady is given if the process cannot take the job at present, for instance because it was suspended or has
	// lost contact with other processes.
	ReasonNotReady Reason = "notReady"
	// ReasonSidecarLost is given if the sidecar of the task was lost, and by a sidecar itself if the process of its executor was
	// replaced or the lease of the run expired.
	ReasonSidecarLost Reason = "sidecarLost"
	// ReasonDeadlineExceeded is given if the deadline passed before the task was known to have ended. The task may have been
	// started.
	ReasonDeadlineExceeded Reason = "deadlineExceeded"
	ReasonRetryBudget      Reason = "retryBudget"
	// ReasonInternalError is given if the handling of the job has failed because of a fault in the program. The job may have run.
	ReasonInternalError Reason = "internalError"
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
