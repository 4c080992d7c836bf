package rgsubmission

import "ragwortgap/core/rgmodel"

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

func answerBytes(ans rgmodel.Answer) int {
	sum := 0
	for _, out := range ans.Outcomes {
		sum += outcomeBytes + len(out.Result) + len(out.Detail)
	}
	return sum
}
