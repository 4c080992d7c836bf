package rgentry

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgwire"
)

const (
	// maxHops bounds how often a job is forwarded while entries have different rings.
	maxHops = 3
	// forwardDelay is the delay before a job is forwarded again after a failure.
	forwardDelay = 100 * time.Millisecond
)

// SubmitResult is the result of a submission. RetryAfter is the time after which the caller may submit again, or zero.
type SubmitResult struct {
	Answer     rgmodel.Answer
	RetryAfter time.Duration
}

// NewID returns a submission id whose home is this entry, if it is a member of the ring.
func (pro *Process) NewID() (rgmodel.SubmissionID, error) {
	rng := pro.View().Ring
	for {
		uid, err := uuid.NewV7()
		if err != nil {
			return "", errors.Annotate(err, "generate submission id")
		}
		id := rgmodel.SubmissionID(uid.String())
		if ent, ok := rgring.Home(rng, id); !ok || ent == pro.self || !slices.Contains(rng.Entries, pro.self) {
			return id, nil
		}
	}
}

// Submit runs a job and returns its final answer. GeneratedHere is set if the id has just been returned by NewID.
// If ctx ends first, the job continues, and the answer says that the tasks may have run.
func (pro *Process) Submit(ctx context.Context, jb rgmodel.Job, generatedHere bool) SubmitResult {
	return pro.submitJob(ctx, jb, generatedHere, 0)
}

// CancelJob cancels a running job at its home and returns whether there was one.
func (pro *Process) CancelJob(ctx context.Context, id rgmodel.SubmissionID) (bool, error) {
	if ent, ok := pro.remoteHome(id); ok {
		var rep rgwire.CancelJobReply
		err := pro.entries.request(ctx, pro, ent, rgwire.CancelJob{ID: id}, &rep)
		return rep.Found, err
	}
	rep, err := pro.localCancel(ctx, id)
	return rep.Found, err
}

// submitJob returns an empty answer when the job has been forwarded too often.
func (pro *Process) submitJob(ctx context.Context, jb rgmodel.Job, generatedHere bool, hops int) SubmitResult {
	pro.waitingCallers.Add(1)
	defer pro.waitingCallers.Add(-1)
	ctx, stop := context.WithTimeout(ctx, jb.Deadline.Duration+2*answerGrace)
	defer stop()
	for ctx.Err() == nil {
		rep := make(chan SubmitReply, 1)
		sr, err := request(ctx, pro, Submitted{Job: jb, GeneratedHere: generatedHere, Reply: rep}, rep)
		if err != nil {
			break
		}
		switch sr := sr.(type) {
		case ReplyFinal:
			return SubmitResult(sr)
		case ReplyWait:
			select {
			case ans, ok := <-sr.Answer:
				if ok {
					return SubmitResult{Answer: ans}
				}
			case <-ctx.Done():
			}
		case ReplyForward:
			if hops >= maxHops {
				// The entry that forwarded the job decides again with a newer ring, so waiting here would only delay it.
				return SubmitResult{}
			}
			if res, ok := pro.forwardJob(ctx, jb, sr.Home, hops); ok {
				return res
			}
			rgclock.Sleep(ctx, forwardDelay)
		}
		// After the first decision, another entry may have seen the id.
		generatedHere = false
	}
	pro.scope.Counter("callersUnanswered").Inc(1)
	return SubmitResult{
		Answer: rgmodel.UniformAnswer(jb, rgmodel.MayHaveRun, rgmodel.ReasonDeadlineExceeded, "no answer before the deadline"),
	}
}

// forwardJob forwards a job to its home. Repeating this is safe, because the home recognizes the id.
func (pro *Process) forwardJob(ctx context.Context, jb rgmodel.Job, home rgmodel.Entry, hops int) (SubmitResult, bool) {
	pro.scope.Counter("forwards").Inc(1)
	var rep rgwire.ForwardReply
	err := pro.entries.request(ctx, pro, home, rgwire.Forward{Job: jb, Hops: hops + 1}, &rep)
	return SubmitResult{Answer: rep.Answer, RetryAfter: rep.RetryAfter.Duration}, err == nil && len(rep.Answer.Outcomes) == len(jb.Tasks)
}

func (pro *Process) localCancel(ctx context.Context, id rgmodel.SubmissionID) (rgwire.CancelJobReply, error) {
	rep := make(chan rgwire.CancelJobReply, 1)
	return request(ctx, pro, CancelRequested{ID: id, Reply: rep}, rep)
}
