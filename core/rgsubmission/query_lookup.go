package rgsubmission

import (
	"cmp"
	"slices"

	"ragwortgap/core/rgmodel"
)

// outcomeBytes is the approximate memory use of an Outcome without its result and detail.
const outcomeBytes = 96

// Lookup returns the state of the id for a submission with the given digest.
func Lookup(sta *State, id rgmodel.SubmissionID, digest uint64) LookupResult {
	sub := sta.Submissions[id]
	switch {
	case sub == nil:
		return Unknown{}
	case sub.Digest != digest:
		return Conflict{}
	case !sub.Final:
		return Running{}
	case len(sub.Answer.Outcomes) > 0:
		return Answered{Answer: sub.Answer}
	default:
		return Dropped{Locations: sub.Locations}
	}
}

// FinalAnswer returns the final answer of a submission. A dropped answer was complete, so it is given without its results.
func FinalAnswer(sub *Submission, id rgmodel.SubmissionID) rgmodel.Answer {
	if len(sub.Answer.Outcomes) > 0 {
		return sub.Answer
	}
	ans := rgmodel.Answer{ID: id}
	for _, loc := range sub.Locations {
		for _, idx := range loc.Indexes {
			ans.Outcomes = append(ans.Outcomes, rgmodel.Outcome{Index: idx, Verdict: rgmodel.RanOK, Reason: rgmodel.ReasonResultDropped})
		}
	}
	slices.SortFunc(ans.Outcomes, func(fst, snd rgmodel.Outcome) int { return cmp.Compare(fst.Index, snd.Index) })
	return ans
}

func answerBytes(ans rgmodel.Answer) int {
	sum := 0
	for _, out := range ans.Outcomes {
		sum += outcomeBytes + len(out.Result) + len(out.Detail)
	}
	return sum
}
