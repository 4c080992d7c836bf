package rgsubmission

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// Register adds a job that is about to run. The id must not be in the table, unless its answer has been dropped.
func Register(sta *State, jb rgmodel.Job, generatedHere bool, retention time.Duration, now time.Time) {
	if sta.Submissions == nil {
		sta.Submissions = map[rgmodel.SubmissionID]*Submission{}
	}
	sta.Submissions[jb.ID] = &Submission{
		Digest:        jb.Digest,
		GeneratedHere: generatedHere,
		Flow:          jb.Flow,
		Started:       now,
		Expires:       now.Add(retention + jb.Deadline.Duration),
	}
}

// Finish stores the final answer of a job, and drops the oldest answers while their total size exceeds MaxAnswerBytes.
// Answers that are not complete are always kept, because their verdicts cannot be collected again.
func Finish(sta *State, ans rgmodel.Answer, locs []TaskLocation) {
	sub := sta.Submissions[ans.ID]
	if sub == nil {
		return
	}
	sub.Final, sub.Complete, sub.Answer, sub.Locations = true, ans.Complete(), ans, locs
	if !sub.Complete {
		return
	}
	sta.AnswerBytes += answerBytes(ans)
	sta.AnswerOrder = append(sta.AnswerOrder, ans.ID)
	dropOldestAnswers(sta)
}

// Forget removes the id, because another entry has become its home.
func Forget(sta *State, id rgmodel.SubmissionID) {
	sub := sta.Submissions[id]
	if sub == nil {
		return
	}
	dropAnswer(sta, sub)
	delete(sta.Submissions, id)
}

// Expire removes the final submissions whose retention time has passed.
func Expire(sta *State, now time.Time) {
	for id, sub := range sta.Submissions {
		if sub.Final && now.After(sub.Expires) {
			Forget(sta, id)
		}
	}
}

func dropOldestAnswers(sta *State) {
	limit := sta.MaxAnswerBytes
	if limit == 0 {
		limit = DefaultMaxAnswerBytes
	}
	for sta.AnswerBytes > limit && len(sta.AnswerOrder) > 0 {
		if sub := sta.Submissions[sta.AnswerOrder[0]]; sub != nil {
			dropAnswer(sta, sub)
		}
		sta.AnswerOrder = sta.AnswerOrder[1:]
	}
}

// dropAnswer removes a complete answer from memory, so it has to be collected again.
func dropAnswer(sta *State, sub *Submission) {
	if sub.Complete && len(sub.Answer.Outcomes) > 0 {
		sta.AnswerBytes -= answerBytes(sub.Answer)
		sub.Answer = rgmodel.Answer{}
	}
}
